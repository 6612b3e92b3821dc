/** Entry queue with a test as its coordinator: tests send events and check the effects. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { PoolAnnouncementMessage, TargetState } from "@rhubarbwheel/types/peer-messages";
import type { ConfigurationQueries, MembershipQueries } from "@rhubarbwheel/types/slices";
import { createEntryQueue } from "../src/createEntryQueue.js";

const self = { router: "r0", incarnation: 1, address: "r0:1", failureDomain: "fd1" };
const coordinator = { router: "r1", incarnation: 1, state: "alive" as const, address: "r1:1", failureDomain: "fd1" };
const service = {
    name: "proofs",
    version: 1,
    spec: {
        kind: "model" as const,
        targets: [{ name: "t1", address: "http://t1", failureDomain: "fd1" }],
        targetLimit: 4,
        coldLimit: 2,
    },
};

export function createFixture() {
    const state = { isOpen: true, isListed: true, version: 0, now: 0 };
    const membership = { findCoordinator: () => coordinator } as unknown as MembershipQueries;
    const configuration = {
        listServices: () => (state.isListed ? [service] : []),
        getService: () => (state.isListed ? service : undefined),
        getWorkspace: () => ({ share: 1, credentialHashes: [] }),
        getFreshness: () => "fresh",
        isTargetOpen: () => state.isOpen && state.isListed,
    } as unknown as ConfigurationQueries;
    const queue = createEntryQueue({ identity: self, membership, configuration });
    const reduce = (event: Record<string, unknown>): readonly Effect[] => {
        state.now += 10;
        return queue.reduce({ ...event, now: state.now } as unknown as RouterEvent);
    };
    const announce = (
        target: Partial<TargetState>,
        granted: number,
        changes: Partial<PoolAnnouncementMessage> = {},
    ): readonly Effect[] => {
        state.version += 1;
        const known: TargetState = { target: "t1", generation: 1, condition: "warm", limit: 4, startId: "a" };
        const message: PoolAnnouncementMessage = {
            type: "poolAnnouncement",
            pool: "proofs",
            incarnation: 1,
            version: state.version,
            reportSequence: 1,
            granted: [{ target: "t1", generation: target.generation ?? 1, total: granted }],
            poolVirtualTime: 0,
            virtualTimes: [],
            ceiling: Number.MAX_VALUE,
            contended: false,
            targets: [{ ...known, ...target }],
            ...changes,
        };
        return reduce({ type: "peerMessage", from: "r1", message });
    };
    return { state, queue, reduce, announce };
}
