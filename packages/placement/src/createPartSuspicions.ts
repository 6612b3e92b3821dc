/**
 * Counts the crashes of engines that a prompt part may explain: a request with it was in progress there, and none with it
 * has completed since.
 */
import { evictOldest } from "./evictOldest.js";

export interface PartSuspicions {
    /** Counts a crash. Returns the parts that it may be at fault for, with their counts. */
    readonly recordCrash: (partIds: readonly string[], now: number) => readonly Suspect[];
    /** Clears a part: a response to a request with it is complete. */
    readonly clear: (partId: string) => void;
    /** Forgets the count of a part, but not that requests with it have completed. */
    readonly reset: (partId: string) => void;
}

export interface Suspect {
    readonly id: string;
    /** Crashes without a complete response in between. */
    readonly crashes: number;
    /** Whether there were enough crashes for a quarantine. */
    readonly isCertain: boolean;
}

/** Crashes without a complete response in between after which a part without complete responses is quarantined. */
export const crashesBeforeQuarantine = 3;

/**
 * Crashes for a part with complete responses before: more, because requests with it may have run repeatedly beside one that
 * crashes engines.
 */
export const crashesOfCompletedPart = 6;

/**
 * Crashes within this time count once: engines that fail together share a cause, such as their power supply, and any
 * common part was in progress at several of them.
 */
export const crashGroupMs = 700;

/** Time after which a suspicion is dropped. */
const suspicionRetentionMs = 60_000;

/** Maximum number of suspected parts; a crash adds the parts of at most a full batch. */
const maxSuspectedParts = 5_000;

/** Maximum number of remembered parts with complete responses. */
const maxCompletedParts = 10_000;

interface Suspicion {
    readonly crashes: number;
    readonly lastCrashAt: number;
}

export function createPartSuspicions(): PartSuspicions {
    const suspicions = new Map<string, Suspicion>();
    /** Parts with complete responses, least recently completed first. */
    const completedParts = new Map<string, true>();

    const countCrash = (id: string, now: number): number => {
        const existing = suspicions.get(id);
        const isCurrent = existing !== undefined && now - existing.lastCrashAt < suspicionRetentionMs;
        if (isCurrent && now - existing.lastCrashAt < crashGroupMs) return existing.crashes;
        const crashes = (isCurrent ? existing.crashes : 0) + 1;
        suspicions.delete(id);
        suspicions.set(id, { crashes, lastCrashAt: now });
        return crashes;
    };

    return {
        recordCrash: (partIds, now) => {
            const suspects = partIds.map(id => {
                const crashes = countCrash(id, now);
                const minCrashes = completedParts.has(id) ? crashesOfCompletedPart : crashesBeforeQuarantine;
                return { id, crashes, isCertain: crashes >= minCrashes };
            });
            evictOldest(suspicions, maxSuspectedParts);
            return suspects;
        },
        clear: id => {
            suspicions.delete(id);
            completedParts.delete(id);
            completedParts.set(id, true);
            evictOldest(completedParts, maxCompletedParts);
        },
        reset: id => void suspicions.delete(id),
    };
}
