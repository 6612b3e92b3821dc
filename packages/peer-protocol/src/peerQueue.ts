/** Bounded queue of messages to one peer. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";

export interface PeerQueue {
    /** False when the queue was full of messages that must not be dropped one by one; it is empty then. */
    readonly add: (message: PeerMessage) => boolean;
    readonly takeAll: () => PeerMessage[];
    readonly getLength: () => number;
}

/** Probes are repeated every round, so the oldest are worth least. */
function isProbe(message: PeerMessage): boolean {
    return message.type === "probe" || message.type === "probeAck" || message.type === "probeRequest";
}

export function createPeerQueue(maxMessages: number): PeerQueue {
    let messages: PeerMessage[] = [];
    return {
        add: message => {
            if (messages.length >= maxMessages) {
                const oldestProbe = messages.findIndex(isProbe);
                if (oldestProbe < 0) {
                    messages = [];
                    return false;
                }
                messages.splice(oldestProbe, 1);
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
