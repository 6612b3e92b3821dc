/** Guards against an operator's watch that repeats the same request forever after the store has compacted its revision. */
import type { Resource } from "@rhubarbwheel/types/resources";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createOperatorStore } from "../src/createOperatorStore.js";

test("a watch from a compacted revision lists everything once and continues from the revision of that list", async () => {
    const watchedRevisions: number[] = [];
    const receivedNames: string[] = [];
    const resource = { kind: "failuredomains", name: "a", version: 3, revision: 90, spec: { state: "in" } } as const;
    await new Promise<void>(resolve => {
        const store = createOperatorStore({
            dispatch: () => undefined,
            getNow: () => 0,
            platformClient: {
                readConfiguration: () =>
                    Promise.resolve({ type: "read", value: { revision: 90, resources: [resource] } }),
                watchConfiguration: afterRevision => {
                    watchedRevisions.push(afterRevision);
                    if (afterRevision < 80) return Promise.resolve({ type: "revisionGone" });
                    stop();
                    resolve();
                    return new Promise(() => undefined);
                },
                writeResource: () => Promise.resolve({ type: "unavailable" }),
            },
        });
        const stop = store.watchResources(5, (changed: Resource) => receivedNames.push(changed.name));
    });
    assert.equal([watchedRevisions, receivedNames], [[5, 90], ["a"]]);
});

// Guards against a change that is delivered to an operator's watch after it was stopped.
test("a watch that is stopped while it lists delivers nothing", async () => {
    const receivedNames: string[] = [];
    const resource = { kind: "failuredomains", name: "a", version: 3, revision: 90, spec: { state: "in" } } as const;
    const store = createOperatorStore({
        dispatch: () => undefined,
        getNow: () => 0,
        platformClient: {
            readConfiguration: () => {
                stop();
                return Promise.resolve({ type: "read", value: { revision: 90, resources: [resource] } });
            },
            watchConfiguration: () => Promise.resolve({ type: "revisionGone" }),
            writeResource: () => Promise.resolve({ type: "unavailable" }),
        },
    });
    const stop = store.watchResources(5, changed => receivedNames.push(changed.name));
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(receivedNames, []);
});

test.run();
