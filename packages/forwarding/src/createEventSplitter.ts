/** Splits a stream of server-sent events into whole events, so that a caller never receives a part of one. */

export interface SplitEvents {
    /** Whole events; empty if none has ended. */
    readonly whole: Buffer;
    /** Id of the last whole event that has one. */
    readonly lastEventId?: string;
}

export interface EventSplitter {
    readonly push: (chunk: Buffer) => SplitEvents;
    /** Bytes of an event that has not ended. */
    readonly getRest: () => Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const empty = Buffer.alloc(0);

/** Finds the end of the last whole event: behind the last blank line. */
function findLastEventEnd(bytes: Buffer): number {
    for (let at = bytes.lastIndexOf(lineFeed); at > 0; at = bytes.lastIndexOf(lineFeed, at - 1)) {
        const before = bytes[at - 1] === carriageReturn ? at - 2 : at - 1;
        if (before >= 0 && bytes[before] === lineFeed) return at + 1;
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
    let rest: Buffer = empty;
    return {
        push: chunk => {
            const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const end = findLastEventEnd(bytes);
            rest = bytes.subarray(end);
            const whole = bytes.subarray(0, end);
            return end === 0 ? { whole } : { whole, lastEventId: findLastEventId(whole) };
        },
        getRest: () => rest,
    };
}
