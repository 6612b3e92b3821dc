/** Trials of the verdict at a service's rates; `PRINT=1` prints the table of docs/design/rollouts.md. */
import { test } from "uvu";
import { addTrials } from "./trialKinds.js";

addTrials({
    name: "two routes, 15/s, 8 s",
    durationMs: 8_000,
    maxFirstPartMs: 2_400,
    routes: [
        { name: "a", perSecond: 10, firstPartMs: 250 },
        { name: "b", perSecond: 5, firstPartMs: 900 },
    ],
});

test.run();
