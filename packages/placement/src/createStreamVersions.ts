/**
 * Remembers which version of a service began each stream, so that it goes on there. An entry that was dropped is unknown:
 * its stream does not go on.
 */

export interface StreamVersion {
    readonly service: string;
    /** Omitted if routers do not agree, or the target may have changed its version meanwhile. */
    readonly version?: string;
    /** Time after which no caller resumes the stream. */
    readonly expiresAt: number;
}

/** A stream that this router relayed. */
export interface OwnStream extends StreamVersion {
    readonly callerId: string;
}

export interface StreamVersions {
    /** `callerId`: id of the call that brought the first event of the stream. */
    readonly record: (callerId: string, stream: StreamVersion, now: number) => void;
    /** Records a stream that this router relays; the routers that remember it have to be told. */
    readonly recordOwn: (stream: OwnStream, now: number) => void;
    /** Other routers are not told of a stream any more that its caller has completely. */
    readonly endOwn: (callerId: string) => void;
    readonly find: (callerId: string, service: string, now: number) => StreamVersion | undefined;
    /** Takes the own streams of which other routers have not been told, as far as `isNeeded` holds for their service. */
    readonly takeUnannounced: (isNeeded: (service: string) => boolean, now: number) => readonly OwnStream[];
    /** Requires that other routers are told of all own streams again. */
    readonly resetAnnounced: () => void;
    readonly count: () => number;
}

/** Streams of about 20 s at the peak of the largest host; the oldest are dropped first. */
export const maxRememberedStreams = 20_000;

export function createStreamVersions(): StreamVersions {
    const streams = new Map<string, StreamVersion>();
    const unannounced = new Set<string>();
    const announced = new Set<string>();

    const endOwn = (callerId: string): void => {
        unannounced.delete(callerId);
        announced.delete(callerId);
    };

    const removeExpired = (now: number): void => {
        for (const [callerId, { expiresAt }] of streams) {
            if (expiresAt > now && streams.size <= maxRememberedStreams) return;
            streams.delete(callerId);
            endOwn(callerId);
        }
    };

    const record = (callerId: string, stream: StreamVersion, now: number): void => {
        const known = streams.get(callerId);
        const isSame = known === undefined || known.version === stream.version;
        streams.delete(callerId);
        streams.set(callerId, isSame ? stream : { ...stream, version: undefined });
        removeExpired(now);
    };

    return {
        record,
        recordOwn: ({ callerId, ...stream }, now) => {
            record(callerId, stream, now);
            announced.delete(callerId);
            unannounced.add(callerId);
        },
        endOwn,
        find: (callerId, service, now) => {
            const stream = streams.get(callerId);
            return stream === undefined || stream.service !== service || stream.expiresAt <= now ? undefined : stream;
        },
        takeUnannounced: (isNeeded, now) => {
            removeExpired(now);
            const taken: OwnStream[] = [];
            for (const callerId of unannounced) {
                const stream = streams.get(callerId);
                if (stream === undefined || !isNeeded(stream.service)) continue;
                unannounced.delete(callerId);
                announced.add(callerId);
                taken.push({ callerId, ...stream });
            }
            return taken;
        },
        resetAnnounced: () => {
            for (const callerId of announced) unannounced.add(callerId);
            announced.clear();
        },
        count: () => streams.size,
    };
}
