/** Entry point of the plain stand-in process. */
import { createPlainStandIn } from "./createPlainStandIn.js";
import { readNumberFlags, runStandIn } from "./runStandIn.js";
import { targetFlagNames } from "./targetFlags.js";

const { port = 0, startsCold, ...flags } = readNumberFlags([
    ...targetFlagNames,
    "executeMs",
    "lookupMs",
    "maxParallel",
]);
await runStandIn(createPlainStandIn({ ...flags, startsCold: startsCold !== 0 }), port);
