/**
 * Decides which requests with prompt parts that crash engines may still run. Several parts that were in progress at the same
 * crashes are quarantined as a suspect group: one of them is at fault, and the others may only occur together with it. A
 * request with some of a group, but not with all, shows which.
 */
import type { PlacementRequest, PromptSize, QuarantinedPart } from "@rhubarbwheel/types/placement";
import { createPartSuspicions } from "./createPartSuspicions.js";
import type { Suspect } from "./createPartSuspicions.js";
import { createSuspectGroups } from "./createSuspectGroups.js";
import { evictOldest } from "./evictOldest.js";

export interface PartQuarantine {
    /** Records the parts of a request whose response is complete. Returns those that are released by it. */
    readonly recordCompletion: (partIds: readonly string[]) => readonly string[];
    /** Records the parts of a request that did not run, so that another one can run as a probe of some of a group. */
    readonly recordUnused: (partIds: readonly string[], now: number) => void;
    /** Records the parts of requests that were in progress at an engine that crashed. */
    readonly recordCrash: (partIds: Iterable<string>, now: number) => QuarantineChange;
    /** Whether a part is quarantined. */
    readonly hasQuarantined: (partIds: readonly string[]) => boolean;
    /** Whether the request may be placed: it has no quarantined part, or a probe of those that it has is due. */
    readonly mayPlace: (partIds: readonly string[], now: number) => boolean;
    /**
     * Excludes the targets that have a probe in progress if the request is one too: a crash would not show which of them has
     * caused it.
     */
    readonly excludeProbedTargets: (request: PlacementRequest, now: number) => PlacementRequest;
    /** Records that a request was placed. If it has a quarantined part, it was a probe, and the next one is due later. */
    readonly recordPlacement: (partIds: readonly string[], target: string, now: number) => void;
    /** Returns the states of those parts that are or were quarantined, and of others of their suspect groups. */
    readonly list: (partIds: readonly string[], now: number) => readonly QuarantinedPart[];
    /** Applies states from another router that are newer than those of this one. */
    readonly merge: (parts: readonly QuarantinedPart[], now: number) => void;
}

/** What a crash has changed. */
export interface QuarantineChange {
    /** Newly quarantined parts. */
    readonly quarantined: readonly string[];
    /** Quarantined parts that are now in a smaller suspect group. */
    readonly narrowed: readonly string[];
}

/** Maximum number of quarantined parts. Each one has crashed engines, so there are few. */
const maxQuarantinedParts = 500;

/** Maximum number of states that `list` adds to those of the requested parts; a message must fit into a datagram. */
const maxListedCompanions = 16;

/** Time from the quarantine to the first probe of a whole group and from that to the next; it doubles with each probe. */
export const minProbeIntervalMs = 20_000;

const maxProbeIntervalMs = 600_000;

/**
 * Time from a probe of some of a group to the next one with the same parts, unless the first one completes; it doubles with
 * each probe.
 */
export const minNarrowingIntervalMs = 3_000;

interface QuarantineState {
    readonly generation: number;
    readonly isReleased: boolean;
    readonly group: string;
    /** Time at which a request with all parts of the group may run. */
    readonly probeAt: number;
    readonly probeIntervalMs: number;
    /** Time at which a request with some parts of the group may run. Other routers do not know it. */
    readonly narrowingAt: number;
    /**
     * The same for at most half of the group. It is earlier after a probe that has crashed an engine: halving the group each
     * time, few more probes crash one.
     */
    readonly halvingAt: number;
    readonly narrowingIntervalMs: number;
    /** Crashes since the quarantine. Other routers do not know it. */
    readonly crashes: number;
}

/** The parts of a request that belong to the same group. */
interface GroupProbe {
    readonly partIds: readonly string[];
    /** Members that are not quarantined. */
    readonly suspectedIds: readonly string[];
    /** Whether other parts of the group may be at fault instead, so that the probe shows which are not. */
    readonly isNarrowing: boolean;
    readonly isHalving: boolean;
}

/** Ids of the prompt parts that other requests may share: all but the last. */
export function listSharedPartIds(prompt: PromptSize | undefined): readonly string[] {
    return prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
}

export function createPartQuarantine(): PartQuarantine {
    const suspicions = createPartSuspicions();
    const groups = createSuspectGroups();
    const states = new Map<string, QuarantineState>();
    /** Time until which the last probe at each target may still crash it. */
    const probedUntil = new Map<string, number>();

    // Nearly always there is no state, and these functions run for each request.
    const isQuarantined = (id: string): boolean => states.size > 0 && states.get(id)?.isReleased === false;

    const hasQuarantined = (partIds: readonly string[]): boolean => states.size > 0 && partIds.some(isQuarantined);

    const setState = (id: string, state: QuarantineState): void => {
        states.delete(id);
        states.set(id, state);
        if (state.isReleased) groups.remove(id);
        else groups.add(id, state.group);
        evictOldest(states, maxQuarantinedParts, groups.remove);
    };

    /** Name that no other group of this part has had; all routers use it. */
    const createGroupName = (id: string): string => `${id}:${(states.get(id)?.generation ?? 0) + 1}`;

    const listProbes = (partIds: readonly string[]): readonly GroupProbe[] => {
        const quarantined = partIds.filter(isQuarantined);
        return [...new Set(quarantined.map(id => states.get(id)!.group))].map(group => {
            const members = groups.listMembers(group);
            const included = members.filter(id => partIds.includes(id));
            return {
                partIds: quarantined.filter(id => states.get(id)!.group === group),
                suspectedIds: included.filter(id => !isQuarantined(id)),
                isNarrowing: included.length < members.length,
                isHalving: included.length <= members.length / 2,
            };
        });
    };

    const isDue = ({ partIds, isNarrowing, isHalving }: GroupProbe, now: number): boolean =>
        partIds.every(id => {
            const { probeAt, narrowingAt, halvingAt } = states.get(id)!;
            if (!isNarrowing) return now >= probeAt;
            return now >= (isHalving ? halvingAt : narrowingAt);
        });

    const delayNextProbe = (id: string, isNarrowing: boolean, now: number): void => {
        const state = states.get(id)!;
        if (isNarrowing) {
            const { narrowingIntervalMs } = state;
            setState(id, {
                ...state,
                narrowingAt: now + narrowingIntervalMs,
                halvingAt: now + narrowingIntervalMs,
                narrowingIntervalMs: narrowingIntervalMs * 2,
            });
            return;
        }
        setState(id, {
            ...state,
            generation: state.generation + 1,
            probeAt: now + state.probeIntervalMs,
            probeIntervalMs: Math.min(maxProbeIntervalMs, state.probeIntervalMs * 2),
        });
    };

    /**
     * The part at fault was in progress at each crash, so of the quarantined parts that were in progress at this one, those
     * with the most crashes are the suspects now, and those of their groups that were not in progress are less suspect.
     */
    const narrowGroups = (partIds: readonly string[], now: number): readonly string[] => {
        const quarantined = partIds.filter(isQuarantined);
        for (const id of quarantined) {
            const state = states.get(id)!;
            setState(id, { ...state, crashes: state.crashes + 1 });
        }
        const maxCrashes = Math.max(...quarantined.map(id => states.get(id)!.crashes));
        const suspects = quarantined.filter(id => states.get(id)!.crashes === maxCrashes);
        const narrowing = listProbes(partIds)
            .filter(probe => probe.isNarrowing && probe.partIds.some(id => suspects.includes(id)));
        const [first] = suspects;
        if (first === undefined || narrowing.length === 0) return [];
        const group = createGroupName(first);
        for (const id of suspects) {
            const state = states.get(id)!;
            const { generation } = state;
            const probeAt = now + minProbeIntervalMs;
            setState(id, { ...state, generation: generation + 1, group, probeAt, halvingAt: now });
        }
        for (const id of narrowing.flatMap(({ suspectedIds }) => suspectedIds)) groups.add(id, group);
        return suspects;
    };

    /** Quarantines what the crash has made certain; other parts of as many crashes may be at fault instead. */
    const quarantine = (suspects: readonly Suspect[], now: number): readonly string[] => {
        const certain = suspects.filter(({ isCertain }) => isCertain);
        const [first] = certain;
        if (first === undefined) return [];
        const group = createGroupName(first.id);
        for (const { id } of certain) {
            setState(id, {
                generation: (states.get(id)?.generation ?? 0) + 1,
                isReleased: false,
                group,
                probeAt: now + minProbeIntervalMs,
                probeIntervalMs: minProbeIntervalMs,
                narrowingAt: now,
                halvingAt: now,
                narrowingIntervalMs: minNarrowingIntervalMs,
                crashes: 0,
            });
            suspicions.reset(id);
        }
        const minCrashes = Math.min(...certain.map(({ crashes }) => crashes));
        for (const { id, isCertain, crashes } of suspects)
            if (!isCertain && crashes >= minCrashes) groups.add(id, group);
        return certain.map(({ id }) => id);
    };

    return {
        recordCompletion: partIds => {
            const released = partIds.filter(isQuarantined);
            for (const id of partIds) {
                suspicions.clear(id);
                groups.remove(id);
            }
            for (const id of released) setState(id, { ...states.get(id)!, isReleased: true });
            return released;
        },
        recordUnused: (partIds, now) => {
            for (const id of partIds.filter(isQuarantined)) {
                const state = states.get(id)!;
                const narrowingIntervalMs = Math.max(minNarrowingIntervalMs, state.narrowingIntervalMs / 2);
                setState(id, { ...state, narrowingAt: now, halvingAt: now, narrowingIntervalMs });
            }
        },
        recordCrash: (partIds, now) => {
            const ids = [...partIds];
            // A quarantined part explains the crash, so the others are no more suspect than before.
            if (ids.some(isQuarantined)) return { quarantined: [], narrowed: narrowGroups(ids, now) };
            return { quarantined: quarantine(suspicions.recordCrash(ids, now), now), narrowed: [] };
        },
        hasQuarantined,
        mayPlace: (partIds, now) => !hasQuarantined(partIds) || listProbes(partIds).every(probe => isDue(probe, now)),
        excludeProbedTargets: (request, now) => {
            if (!hasQuarantined(listSharedPartIds(request.prompt))) return request;
            for (const [target, until] of probedUntil) if (until <= now) probedUntil.delete(target);
            return { ...request, excluded: [...request.excluded, ...probedUntil.keys()] };
        },
        recordPlacement: (partIds, target, now) => {
            if (!hasQuarantined(partIds)) return;
            for (const { partIds: probed, isNarrowing } of listProbes(partIds)) {
                for (const id of probed) delayNextProbe(id, isNarrowing, now);
                probedUntil.set(target, now + minNarrowingIntervalMs);
            }
        },
        list: (partIds, now) => {
            if (states.size === 0) return [];
            const known = partIds.filter(id => states.has(id));
            const companions = known.filter(isQuarantined)
                .flatMap(id => groups.listMembers(states.get(id)!.group))
                .filter(id => states.has(id) && !known.includes(id));
            return [...known, ...[...new Set(companions)].slice(0, maxListedCompanions)].map(id => {
                const { generation, isReleased, group, probeAt, probeIntervalMs } = states.get(id)!;
                return { id, generation, isReleased, group, probeInMs: Math.max(0, probeAt - now), probeIntervalMs };
            });
        },
        merge: (parts, now) => {
            for (const { id, generation, isReleased, group, probeInMs, probeIntervalMs } of parts) {
                const state = states.get(id);
                const isNewer = generation > (state?.generation ?? 0)
                    || (generation === state?.generation && isReleased && !state.isReleased);
                if (!isNewer) continue;
                setState(id, {
                    generation,
                    isReleased,
                    group: group ?? id,
                    probeAt: now + probeInMs,
                    probeIntervalMs,
                    narrowingAt: state?.narrowingAt ?? now,
                    halvingAt: state?.halvingAt ?? now,
                    narrowingIntervalMs: state?.narrowingIntervalMs ?? minNarrowingIntervalMs,
                    crashes: state?.crashes ?? 0,
                });
            }
        },
    };
}
