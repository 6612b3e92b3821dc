/** Queue of membership updates to be piggybacked on probes and acknowledgements. */
import type { MemberUpdate } from "@rhubarbwheel/types/peer-messages";

import { maxUpdatesPerMessage, retransmitFactor } from "./membershipSettings.js";

interface QueuedUpdate {
    readonly update: MemberUpdate;
    /** Number of messages that have carried the update. */
    sentCount: number;
}

export interface UpdateQueue {
    /** Queues an update, in place of an older one about the same router. */
    readonly push: (update: MemberUpdate) => void;
    /** Takes the updates for one message, those sent least often first. */
    readonly take: (memberCount: number) => readonly MemberUpdate[];
}

export function createUpdateQueue(): UpdateQueue {
    const queued = new Map<string, QueuedUpdate>();

    const take = (memberCount: number): readonly MemberUpdate[] => {
        if (queued.size === 0) return [];
        const limit = Math.ceil(retransmitFactor * Math.log2(memberCount + 1));
        const chosen = [...queued.values()].sort((left, right) => left.sentCount - right.sentCount)
            .slice(0, maxUpdatesPerMessage);
        for (const entry of chosen) {
            entry.sentCount += 1;
            if (entry.sentCount >= limit) queued.delete(entry.update.router);
        }
        return chosen.map(entry => entry.update);
    };

    return { push: update => void queued.set(update.router, { update, sentCount: 0 }), take };
}
