/** A mirror of the store with one kind of entries, and what it has passed on. */
import type { ClosedDomainEntry } from "@rhubarbwheel/types/fleet";
import type { ViewChange } from "@rhubarbwheel/types/view-events";
import { createStoreMirror, type StoreMirror } from "../src/createStoreMirror.js";
import type { ViewEvent } from "../src/followStore.js";

export const kind = "closedDomains";

export interface MirrorHarness {
    readonly mirror: StoreMirror;
    readonly events: ViewEvent[];
    readonly updates: (readonly ViewChange[] | undefined)[];
    now: number;
}

export function createHarness(): MirrorHarness {
    const events: ViewEvent[] = [];
    const updates: (readonly ViewChange[] | undefined)[] = [];
    const harness: MirrorHarness = {
        events,
        updates,
        now: 0,
        mirror: createStoreMirror({
            getNow: () => harness.now,
            emit: event => events.push(event),
            onUpdated: (_kind, changes) => updates.push(changes),
        }),
    };
    return harness;
}

export function createEntries(names: Iterable<string>): ClosedDomainEntry[] {
    return [...names].map(failureDomain => ({ failureDomain }));
}

export function listNames(mirror: StoreMirror): string[] {
    return (mirror.getList(kind)?.entries ?? []).map(entry => (entry as ClosedDomainEntry).failureDomain).sort();
}
