/**
 * Circuit breaker for targets whose responses this router cuts off because they exceed its limits (short pieces, headers
 * or an error without end). Each such response takes processor time until its limit is reached. Other failures are not
 * counted: the failure ratio of the target model covers them.
 */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import { maxRememberedTargets } from "./placementSettings.js";
import { setBounded } from "./setBounded.js";

type TargetStart = Pick<TargetEntry, "target" | "startedAtUnixMs">;

interface BreakerState {
    readonly startedAtUnixMs?: number;
    /** Responses cut off since the last one that was not. */
    cutOffsInRow: number;
    openUntil: number;
    pauseMs: number;
}

export interface TargetBreaker {
    /** Returns the time for which the target is avoided, if this response opens the breaker. */
    readonly recordCutOff: (entry: TargetStart, now: number) => number | undefined;
    /** Records a response that was not cut off. */
    readonly recordResponse: (target: string) => void;
    readonly isOpen: (entry: TargetStart, now: number) => boolean;
    readonly countOpen: (now: number) => number;
}

/**
 * Responses cut off in a row that open the breaker. A target with half of its responses cut off at random gets there about
 * once in 500 calls, one with a third once in 10,000 calls.
 */
const maxCutOffsInRow = 8;

/** Time for which the target is avoided at first; after that, one more response that is cut off doubles it. */
const minPauseMs = 1_000;

/** Maximum of that time, so that a target that has recovered is used again soon. */
const maxPauseMs = 8_000;

export function createTargetBreaker(): TargetBreaker {
    const states = new Map<string, BreakerState>();

    const find = ({ target, startedAtUnixMs }: TargetStart): BreakerState | undefined => {
        const state = states.get(target);
        return state?.startedAtUnixMs === startedAtUnixMs ? state : undefined;
    };

    const getOrCreate = (entry: TargetStart): BreakerState => {
        const existing = find(entry);
        if (existing !== undefined) return existing;
        const { target, startedAtUnixMs } = entry;
        const state = { startedAtUnixMs, cutOffsInRow: 0, openUntil: -Infinity, pauseMs: minPauseMs };
        setBounded(states, target, state, maxRememberedTargets);
        return state;
    };

    return {
        recordCutOff: (entry, now) => {
            const state = getOrCreate(entry);
            // Calls that were in flight when the breaker opened do not lengthen the pause.
            if (now < state.openUntil) return undefined;
            state.cutOffsInRow += 1;
            if (state.cutOffsInRow < maxCutOffsInRow) return undefined;
            const { pauseMs } = state;
            state.openUntil = now + pauseMs;
            state.pauseMs = Math.min(maxPauseMs, pauseMs * 2);
            return pauseMs;
        },
        recordResponse: target => void states.delete(target),
        isOpen: (entry, now) => (find(entry)?.openUntil ?? -Infinity) > now,
        countOpen: now => [...states.values()].filter(state => state.openUntil > now).length,
    };
}
