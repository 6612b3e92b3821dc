/**
 * Remembers which version of a service began each stream, so that it goes on there. An entry that was dropped is unknown:
 * its stream does not go on.
 */

export interface StreamVersion {
    readonly service: string;
    /** Omitted if routers do not agree, or the target may have changed its version meanwhile. */
    readonly version?: string;
    /** Time after which no caller takes the stream up. */
    readonly expiresAt: number;
}

export interface StreamVersions {
    /** `callerId`: id of the call that brought the first event of the stream. */
    readonly record: (callerId: string, stream: StreamVersion, now: number) => void;
    readonly find: (callerId: string, service: string, now: number) => StreamVersion | undefined;
    readonly count: () => number;
}

/** Streams of about 20 s at the peak of the largest host; the oldest are dropped first. */
export const maxRememberedStreams = 20_000;

export function createStreamVersions(): StreamVersions {
    const streams = new Map<string, StreamVersion>();

    const removeExpired = (now: number): void => {
        for (const [callerId, { expiresAt }] of streams) {
            if (expiresAt > now && streams.size <= maxRememberedStreams) return;
            streams.delete(callerId);
        }
    };

    return {
        record: (callerId, stream, now) => {
            const known = streams.get(callerId);
            const isSame = known === undefined || known.version === stream.version;
            streams.delete(callerId);
            streams.set(callerId, isSame ? stream : { ...stream, version: undefined });
            removeExpired(now);
        },
        find: (callerId, service, now) => {
            const stream = streams.get(callerId);
            return stream === undefined || stream.service !== service || stream.expiresAt <= now ? undefined : stream;
        },
        count: () => streams.size,
    };
}
