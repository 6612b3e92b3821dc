/** Guards against an operator's watch that asks the store without end after the store has forgotten its revision. */
import type { Resource } from "@rhubarbwheel/types/resources";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createOperatorStore } from "../src/createOperatorStore.js";

test("a watch from a forgotten revision reads everything once and goes on from there", async () => {
    const asked: number[] = [];
    const seen: string[] = [];
    const resource = { kind: "failuredomains", name: "a", version: 3, revision: 90, spec: { state: "in" } } as const;
    await new Promise<void>(resolve => {
        const store = createOperatorStore({
            dispatch: () => undefined,
            getNow: () => 0,
            platformClient: {
                readConfiguration: () =>
                    Promise.resolve({ type: "read", value: { revision: 90, resources: [resource] } }),
                watchConfiguration: after => {
                    asked.push(after);
                    if (after < 80) return Promise.resolve({ type: "revisionGone" });
                    stop();
                    resolve();
                    return new Promise(() => undefined);
                },
                writeResource: () => Promise.resolve({ type: "unavailable" }),
            },
        });
        const stop = store.watchResources(5, (change: Resource) => seen.push(change.name));
    });
    assert.equal([asked, seen], [[5, 90], ["a"]]);
});

test.run();
