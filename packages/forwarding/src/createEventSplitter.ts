/** Splits a stream of server-sent events into complete events, so that a caller never receives a partial one. */

export interface SplitResult {
    /** Empty if no event has ended. */
    readonly completeEvents: Buffer;
    /** Id of the last complete event that has one. */
    readonly lastEventId?: string;
}

export interface EventSplitter {
    readonly push: (chunk: Buffer) => SplitResult;
    /** Returns the bytes received of an event that has not ended. */
    readonly getIncompleteEvent: () => Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const emptyBuffer = Buffer.alloc(0);

/** Returns the offset after the last blank line, which ends the last complete event. */
function findLastEventEnd(bytes: Buffer): number {
    for (let index = bytes.lastIndexOf(lineFeed); index > 0; index = bytes.lastIndexOf(lineFeed, index - 1)) {
        const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
        if (before >= 0 && bytes[before] === lineFeed) return index + 1;
    }
    return 0;
}

function findLastEventId(events: Buffer): string | undefined {
    const text = events.toString("latin1");
    const start = text.startsWith("id:") ? Math.max(0, text.lastIndexOf("\nid:") + 1) : text.lastIndexOf("\nid:") + 1;
    if (start === 0 && !text.startsWith("id:")) return undefined;
    const end = text.indexOf("\n", start);
    return text.slice(start + "id:".length, end < 0 ? undefined : end).trim();
}

export function createEventSplitter(): EventSplitter {
    let incompleteEvent: Buffer = emptyBuffer;
    return {
        push: chunk => {
            const bytes = incompleteEvent.length === 0 ? chunk : Buffer.concat([incompleteEvent, chunk]);
            const end = findLastEventEnd(bytes);
            incompleteEvent = bytes.subarray(end);
            const completeEvents = bytes.subarray(0, end);
            return end === 0
                ? { completeEvents }
                : { completeEvents, lastEventId: findLastEventId(completeEvents) };
        },
        getIncompleteEvent: () => incompleteEvent,
    };
}
