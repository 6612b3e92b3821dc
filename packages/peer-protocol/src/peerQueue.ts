/** Bounded queue of messages to one peer. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";

export interface PeerQueue {
    /** Returns false if the queue was full and contained no probe to drop; all messages have been dropped then. */
    readonly add: (message: PeerMessage) => boolean;
    readonly takeAll: () => PeerMessage[];
    readonly getLength: () => number;
}

/** Probes are sent in every round, so old ones can be dropped. */
function isProbe(message: PeerMessage): boolean {
    return message.type === "probe" || message.type === "probeAck" || message.type === "probeRequest";
}

export function createPeerQueue(maxMessages: number): PeerQueue {
    let messages: PeerMessage[] = [];
    return {
        add: message => {
            if (messages.length >= maxMessages) {
                const oldestProbeIndex = messages.findIndex(isProbe);
                if (oldestProbeIndex < 0) {
                    messages = [];
                    return false;
                }
                messages.splice(oldestProbeIndex, 1);
            }
            messages.push(message);
            return true;
        },
        takeAll: () => {
            const taken = messages;
            messages = [];
            return taken;
        },
        getLength: () => messages.length,
    };
}
