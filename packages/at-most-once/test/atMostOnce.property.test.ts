/** Guards against a key that is executed twice in some schedule of duplicates, evictions, restarts and forwards. */
import fc from "fast-check";
import { test } from "uvu";
import type { Step } from "./fleetModel.js";
import { createFleetModel } from "./fleetModel.js";

const kinds = ["submit", "submit", "bind", "forward", "finish", "cancel", "dequeue", "restart", "membership"] as const;
const step = fc.record<Step>({ kind: fc.constantFrom(...kinds), selector: fc.nat(40), variant: fc.nat(40) });

test("no key is executed twice, no call is forwarded twice, every connected caller gets one response", () => {
    const property = fc.property(fc.array(step, { maxLength: 80, size: "max" }), steps => {
        const fleet = createFleetModel();
        steps.forEach(fleet.apply);
        fleet.runToCompletion();
    });
    fc.assert(property, { seed: 1500, numRuns: 3000, includeErrorInReport: true });
});

test.run();
