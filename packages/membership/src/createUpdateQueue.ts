/** Membership updates waiting to be carried by probes and acknowledgements. */
import type { MemberUpdate } from "@rhubarbwheel/types/peer-messages";

import { maxUpdatesPerMessage, transmitFactor } from "./membershipSettings.js";

interface QueuedUpdate {
    readonly update: MemberUpdate;
    /** Messages that have carried the update. */
    sent: number;
}

export interface UpdateQueue {
    /** Queues an update; it replaces an older one about the same router. */
    readonly push: (update: MemberUpdate) => void;
    /** Takes the updates for one message, least often sent first. */
    readonly take: (memberCount: number) => readonly MemberUpdate[];
}

export function createUpdateQueue(): UpdateQueue {
    const queued = new Map<string, QueuedUpdate>();

    const take = (memberCount: number): readonly MemberUpdate[] => {
        if (queued.size === 0) return [];
        const limit = Math.ceil(transmitFactor * Math.log2(memberCount + 1));
        const chosen = [...queued.values()].sort((left, right) => left.sent - right.sent)
            .slice(0, maxUpdatesPerMessage);
        for (const entry of chosen) {
            entry.sent += 1;
            if (entry.sent >= limit) queued.delete(entry.update.router);
        }
        return chosen.map(entry => entry.update);
    };

    return { push: update => void queued.set(update.router, { update, sent: 0 }), take };
}
