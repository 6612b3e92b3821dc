/** Trials of the verdict at a service's rates; `PRINT=1` prints the table of docs/design/rollouts.md. */
import { test } from "uvu";
import { addTrials } from "./trialKinds.js";

addTrials({
    name: "two routes, 15/s, 60 s",
    durationMs: 60_000,
    maxFirstPartMs: 10_000,
    routes: [
        { name: "a", perSecond: 10, firstPartMs: 500 },
        { name: "b", perSecond: 5, firstPartMs: 2_000 },
    ],
});

test.run();
