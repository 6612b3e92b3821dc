/** Entry point of the model stand-in process. */
import { createModelStandIn } from "./createModelStandIn.js";
import { readNumberFlags, runStandIn } from "./runStandIn.js";
import { targetFlagNames } from "./targetFlags.js";

const { port = 0, startsCold, ...flags } = readNumberFlags([
    ...targetFlagNames,
    "maxBatch",
    "tokenBaseMs",
    "tokenSlopeMs",
    "prefillMsPerToken",
    "prefixCacheEntries",
]);
await runStandIn(createModelStandIn({ ...flags, startsCold: startsCold !== 0 }), port);
