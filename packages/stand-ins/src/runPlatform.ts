/** Entry point of the platform stand-in process. */
import { createPlatformStandIn } from "./createPlatformStandIn.js";
import { readNumberFlags, runStandIn } from "./runStandIn.js";

const { port = 0, ...flags } = readNumberFlags([
    "seed",
    "writesPerSecond",
    "readsPerSecond",
    "historyLength",
    "hostLagMs",
]);
await runStandIn(createPlatformStandIn(flags), port);
