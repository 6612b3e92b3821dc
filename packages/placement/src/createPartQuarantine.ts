/**
 * Finds prompt parts that crash engines, and decides which requests with such a part may still run. A part is suspected
 * if requests with it were in progress at engines that crashed, and none with it has completed since.
 */
import type { PromptSize, QuarantinedPart } from "@rhubarbwheel/types/placement";

export interface PartQuarantine {
    /** Records the parts of a request whose response is complete. Returns those that are released by it. */
    readonly recordCompletion: (partIds: readonly string[]) => readonly string[];
    /** Records the parts of requests that were in progress when an engine crashed. Returns newly quarantined parts. */
    readonly recordCrash: (partIds: Iterable<string>, now: number) => readonly string[];
    /** Whether a part is quarantined. */
    readonly hasQuarantined: (partIds: readonly string[]) => boolean;
    /** Whether the request may be placed: it has no quarantined part, or it has one and a probe is due. */
    readonly mayPlace: (partIds: readonly string[], now: number) => boolean;
    /** Records that a request was placed. If it has a quarantined part, it was a probe, and the next one is due later. */
    readonly recordPlacement: (partIds: readonly string[], now: number) => void;
    /** Returns the states of those parts that are or were quarantined. */
    readonly list: (partIds: readonly string[], now: number) => readonly QuarantinedPart[];
    /** Applies states from another router that are newer than those of this one. */
    readonly merge: (parts: readonly QuarantinedPart[], now: number) => void;
}

/** Crashes without a complete response in between after which a part without complete responses is quarantined. */
export const crashesBeforeQuarantine = 3;

/**
 * Crashes for a part with complete responses before: more, because requests with it may have run repeatedly beside one that
 * crashes engines.
 */
export const crashesOfCompletedPart = 6;

/** Maximum number of remembered parts with complete responses. */
const maxCompletedParts = 10_000;

/**
 * Crashes within this time count once: engines that fail together share a cause, such as their power supply, and any
 * common part was in progress at several of them.
 */
export const crashGroupMs = 700;

/** Time after which a suspicion is dropped. */
const suspicionRetentionMs = 60_000;

/** Maximum number of suspected parts; a crash adds the parts of at most a full batch. */
const maxSuspectedParts = 5_000;

/** Maximum number of quarantined parts. Each one has crashed engines, so there are few. */
const maxQuarantinedParts = 500;

/** Time from the quarantine to its first probe and from that to the next; each later interval is twice as long. */
export const minProbeIntervalMs = 20_000;

const maxProbeIntervalMs = 600_000;

interface Suspicion {
    crashes: number;
    lastCrashAt: number;
}

interface QuarantineState {
    readonly generation: number;
    readonly isReleased: boolean;
    readonly probeAt: number;
    readonly probeIntervalMs: number;
}

/** Removes the oldest entries beyond `maxSize`. */
function evictOldest(entries: Map<string, unknown>, maxSize: number): void {
    for (const key of entries.keys()) {
        if (entries.size <= maxSize) return;
        entries.delete(key);
    }
}

/** Ids of the prompt parts that other requests may share: all but the last. */
export function listSharedPartIds(prompt: PromptSize | undefined): readonly string[] {
    return prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
}

export function createPartQuarantine(): PartQuarantine {
    const suspicions = new Map<string, Suspicion>();
    /** Parts with complete responses, least recently completed first. */
    const completedParts = new Map<string, true>();
    const states = new Map<string, QuarantineState>();

    const setState = (id: string, state: QuarantineState): void => {
        states.delete(id);
        states.set(id, state);
        evictOldest(states, maxQuarantinedParts);
    };

    const isQuarantined = (id: string): boolean => states.get(id)?.isReleased === false;

    /** Returns whether the part is to be quarantined. */
    const recordPartCrash = (id: string, now: number): boolean => {
        if (isQuarantined(id)) return false;
        const existing = suspicions.get(id);
        const isCurrent = existing !== undefined && now - existing.lastCrashAt < suspicionRetentionMs;
        if (isCurrent && now - existing.lastCrashAt < crashGroupMs) return false;
        const crashes = (isCurrent ? existing.crashes : 0) + 1;
        suspicions.delete(id);
        if (crashes >= (completedParts.has(id) ? crashesOfCompletedPart : crashesBeforeQuarantine)) return true;
        suspicions.set(id, { crashes, lastCrashAt: now });
        return false;
    };

    /** Quarantines parts that the same crash has made certain enough. */
    const quarantine = (ids: readonly string[], now: number): void => {
        // If there are several, one of them crashes engines and the others may only occur together with it. A request
        // with a single one of them shows which.
        const firstProbeDelayMs = ids.length > 1 ? 0 : minProbeIntervalMs;
        for (const id of ids) {
            setState(id, {
                generation: (states.get(id)?.generation ?? 0) + 1,
                isReleased: false,
                probeAt: now + firstProbeDelayMs,
                probeIntervalMs: minProbeIntervalMs,
            });
        }
    };

    return {
        recordCompletion: partIds => {
            for (const id of partIds) {
                suspicions.delete(id);
                completedParts.delete(id);
                completedParts.set(id, true);
            }
            evictOldest(completedParts, maxCompletedParts);
            const released = partIds.filter(isQuarantined);
            for (const id of released) setState(id, { ...states.get(id)!, isReleased: true });
            return released;
        },
        recordCrash: (partIds, now) => {
            const added = [...partIds].filter(id => recordPartCrash(id, now));
            quarantine(added, now);
            evictOldest(suspicions, maxSuspectedParts);
            return added;
        },
        hasQuarantined: partIds => partIds.some(isQuarantined),
        mayPlace: (partIds, now) => {
            const [id, ...others] = partIds.filter(isQuarantined);
            // A crash of a request with several quarantined parts would not show which of them is at fault.
            return id === undefined || (others.length === 0 && now >= states.get(id)!.probeAt);
        },
        recordPlacement: (partIds, now) => {
            for (const id of partIds.filter(isQuarantined)) {
                const { generation, probeIntervalMs } = states.get(id)!;
                setState(id, {
                    generation: generation + 1,
                    isReleased: false,
                    probeAt: now + probeIntervalMs,
                    probeIntervalMs: Math.min(maxProbeIntervalMs, probeIntervalMs * 2),
                });
            }
        },
        list: (partIds, now) =>
            partIds.flatMap(id => {
                const state = states.get(id);
                if (state === undefined) return [];
                const { generation, isReleased, probeAt, probeIntervalMs } = state;
                return [{ id, generation, isReleased, probeInMs: Math.max(0, probeAt - now), probeIntervalMs }];
            }),
        merge: (parts, now) => {
            for (const { id, generation, isReleased, probeInMs, probeIntervalMs } of parts) {
                const state = states.get(id);
                const isNewer = generation > (state?.generation ?? 0)
                    || (generation === state?.generation && isReleased && !state.isReleased);
                if (isNewer) setState(id, { generation, isReleased, probeAt: now + probeInMs, probeIntervalMs });
            }
        },
    };
}
