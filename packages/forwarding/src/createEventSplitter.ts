/** Splits a stream of server-sent events into complete events, so that a caller never receives a partial one. */
import { createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";

export interface SplitResult {
    /** Empty if no event has ended. */
    readonly completeEvents: Buffer;
    /** Number of events in `completeEvents`. */
    readonly eventCount: number;
    /** Id of the last complete event that has one. */
    readonly lastEventId?: string;
}

export interface EventSplitter {
    readonly push: (chunk: Buffer) => SplitResult;
    /** Number of bytes received of an event that has not ended. */
    readonly countIncompleteBytes: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const emptyBuffer = Buffer.alloc(0);

/** Bytes before a line feed that decide whether it ends a blank line. */
const lookbehindBytes = 2;

/**
 * Returns the offset after the last blank line, which ends the last complete event. A blank line at the start follows
 * an event that has ended before.
 */
function findLastEventEnd(bytes: Buffer): number {
    let index = bytes.lastIndexOf(lineFeed);
    while (index >= 0) {
        const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
        if (before < 0 || bytes[before] === lineFeed) return index + 1;
        index = bytes.lastIndexOf(lineFeed, index - 1);
    }
    return 0;
}

/** Counts the events in `bytes`, each of which ends with a blank line. */
function countEvents(bytes: Buffer): number {
    let count = 0;
    let hasContent = false;
    let lineStart = 0;
    for (let end = bytes.indexOf(lineFeed); end >= 0; end = bytes.indexOf(lineFeed, lineStart)) {
        const isBlank = end === lineStart || (end === lineStart + 1 && bytes[lineStart] === carriageReturn);
        if (isBlank && hasContent) count += 1;
        hasContent = !isBlank;
        lineStart = end + 1;
    }
    return count;
}

function findLastEventId(events: Buffer): string | undefined {
    const text = events.toString("latin1");
    const start = text.startsWith("id:") ? Math.max(0, text.lastIndexOf("\nid:") + 1) : text.lastIndexOf("\nid:") + 1;
    if (start === 0 && !text.startsWith("id:")) return undefined;
    const end = text.indexOf("\n", start);
    return text.slice(start + "id:".length, end < 0 ? undefined : end).trim();
}

export function createEventSplitter(): EventSplitter {
    const incompleteEvent = createByteBuffer();
    return {
        push: chunk => {
            // No event ends in the bytes before the chunk, so only the last of them are searched again.
            const tail = incompleteEvent.getTail(lookbehindBytes);
            const searched = tail.length === 0 ? chunk : Buffer.concat([tail, chunk]);
            const end = findLastEventEnd(searched) - tail.length;
            if (end <= 0) {
                incompleteEvent.append(chunk);
                return { completeEvents: emptyBuffer, eventCount: 0 };
            }
            const eventEnd = chunk.subarray(0, end);
            const completeEvents = tail.length === 0 ? eventEnd : Buffer.concat([incompleteEvent.take(), eventEnd]);
            incompleteEvent.append(chunk.subarray(end));
            return {
                completeEvents,
                eventCount: countEvents(completeEvents),
                lastEventId: findLastEventId(completeEvents),
            };
        },
        countIncompleteBytes: incompleteEvent.getLength,
    };
}
