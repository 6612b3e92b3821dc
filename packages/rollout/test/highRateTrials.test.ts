/** Trials of the verdict at a service's rates; `PRINT=1` prints the table of docs/design/rollouts.md. */
import { test } from "uvu";
import { addTrials } from "./trialKinds.js";

addTrials({
    name: "three routes, 933/s, 8 s",
    durationMs: 8_000,
    maxFirstPartMs: 2_400,
    routes: [
        { name: "a", perSecond: 429, firstPartMs: 50 },
        { name: "b", perSecond: 254, firstPartMs: 120 },
        { name: "c", perSecond: 250, firstPartMs: 400 },
    ],
});

test.run();
