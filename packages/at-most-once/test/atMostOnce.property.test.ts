/** Guards against any schedule of duplicates, evictions, restarts and forwards on which a key runs twice. */
import fc from "fast-check";
import { test } from "uvu";
import type { Step } from "./fleetModel.js";
import { createFleetModel } from "./fleetModel.js";

const kinds = ["submit", "submit", "bind", "forward", "finish", "cancel", "dequeue", "restart", "membership"] as const;
const step = fc.record<Step>({ kind: fc.constantFrom(...kinds), a: fc.nat(40), b: fc.nat(40) });

test("no key runs twice, no call is forwarded twice, every caller that stays is answered once", () => {
    const property = fc.property(fc.array(step, { maxLength: 80, size: "max" }), steps => {
        const fleet = createFleetModel();
        steps.forEach(fleet.apply);
        fleet.settle();
    });
    fc.assert(property, { seed: 1500, numRuns: 3000, includeErrorInReport: true });
});

test.run();
