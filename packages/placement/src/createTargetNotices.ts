/** What targets have said about themselves in responses: that they leave, pause, or take a limited rate of requests. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { TargetNotice, TargetNoticeMessage } from "@rhubarbwheel/types/placement";
import { maxRememberedTargets } from "./placementSettings.js";
import { setBounded } from "./setBounded.js";

type TargetStart = Pick<TargetEntry, "target" | "startedAtUnixMs">;

type SharedNotice = Pick<TargetNoticeMessage, "isLeaving" | "rateLimit">;

interface NoticeState {
    readonly startedAtUnixMs?: number;
    isLeaving: boolean;
    /** End of the time for which the target wants nothing from this router. */
    pausedUntil: number;
    rateLimit?: number;
    /** Time at which the limit was last named. */
    rateNamedAt: number;
}

export interface TargetNotices {
    /**
     * Records the target's response to an attempt that this router sent at `sentAt`. Returns whether what concerns all
     * routers has changed.
     */
    readonly record: (entry: TargetStart, notice: TargetNotice, sentAt: number, now: number) => boolean;
    /** Records what another router was told. Returns whether anything has changed. */
    readonly merge: (message: TargetNoticeMessage, now: number) => boolean;
    readonly isLeaving: (entry: TargetStart) => boolean;
    /** Time until which the target wants nothing from this router; -Infinity if it has not said so. */
    readonly getPausedUntil: (entry: TargetStart) => number;
    /** Requests per second from all routers together; undefined if unlimited. */
    readonly getRateLimit: (entry: TargetStart) => number | undefined;
    /** What all routers must know of the target. */
    readonly getShared: (entry: TargetStart) => SharedNotice;
    readonly countLeaving: () => number;
    readonly countLimited: () => number;
}

/** A target that takes nothing would never get a call in whose response it could name another rate. */
const minRateLimit = 0.25;

export function createTargetNotices(): TargetNotices {
    const states = new Map<string, NoticeState>();

    /** A target that has started again has said nothing yet. */
    const find = ({ target, startedAtUnixMs }: TargetStart): NoticeState | undefined => {
        const state = states.get(target);
        return state?.startedAtUnixMs === startedAtUnixMs ? state : undefined;
    };

    /** Undefined for a start before the last one that is known. */
    const getOrCreate = (entry: TargetStart): NoticeState | undefined => {
        const existing = find(entry);
        if (existing !== undefined) return existing;
        const { startedAtUnixMs: lastStart = -Infinity } = states.get(entry.target) ?? {};
        if ((entry.startedAtUnixMs ?? -Infinity) < lastStart) return undefined;
        const state: NoticeState = {
            startedAtUnixMs: entry.startedAtUnixMs,
            isLeaving: false,
            pausedUntil: -Infinity,
            rateNamedAt: -Infinity,
        };
        states.delete(entry.target);
        setBounded(states, entry.target, state, maxRememberedTargets);
        return state;
    };

    /** Responses may arrive out of order: only one to a call that was sent after the limit was named withdraws it. */
    const applyShared = (state: NoticeState, { isLeaving, rateLimit }: SharedNotice, sentAt: number, now: number) => {
        const before = { isLeaving: state.isLeaving, rateLimit: state.rateLimit };
        state.isLeaving ||= isLeaving;
        if (rateLimit !== undefined) {
            state.rateLimit = Math.max(minRateLimit, rateLimit);
            state.rateNamedAt = now;
        }
        else if (sentAt > state.rateNamedAt) { state.rateLimit = undefined; }
        return before.isLeaving !== state.isLeaving || before.rateLimit !== state.rateLimit;
    };

    const getShared = (entry: TargetStart): SharedNotice => {
        const state = find(entry);
        return { isLeaving: state?.isLeaving ?? false, rateLimit: state?.rateLimit };
    };

    const count = (matches: (state: NoticeState) => boolean): number => [...states.values()].filter(matches).length;

    return {
        record: (entry, { isLeaving, pauseMs, rateLimit }, sentAt, now) => {
            const state = getOrCreate(entry);
            if (state === undefined) return false;
            if (pauseMs !== undefined) state.pausedUntil = Math.max(state.pausedUntil, now + pauseMs);
            if (rateLimit === "unreadable") return applyShared(state, { isLeaving }, -Infinity, now);
            return applyShared(
                state,
                { isLeaving, rateLimit: rateLimit === "none" ? undefined : rateLimit },
                sentAt,
                now,
            );
        },
        merge: (message, now) => {
            const state = getOrCreate(message);
            return state !== undefined && applyShared(state, message, now - message.ageMs, now);
        },
        isLeaving: entry => getShared(entry).isLeaving,
        getPausedUntil: entry => find(entry)?.pausedUntil ?? -Infinity,
        getRateLimit: entry => find(entry)?.rateLimit,
        getShared,
        countLeaving: () => count(state => state.isLeaving),
        countLimited: () => count(state => state.rateLimit !== undefined),
    };
}
