/** Slots that an entry router holds in one pool, per target and generation. */
import type { GrantTotal, SlotCount, TargetObservation, TargetState } from "@rhubarbwheel/types/peer-messages";

export interface HeldTarget {
    readonly target: string;
    /** Latest announced generation. */
    generation: number;
    condition: TargetState["condition"];
    /** Cumulative number of slots granted under `generation`. */
    received: number;
    /** Whether no request has been dispatched since the last grant. */
    newlyGranted: boolean;
    /** Requests completed on slots of `generation`. */
    completed: number;
    /** Free slots of `generation`. */
    free: number;
    /** Slots in use, per generation. */
    readonly inUse: Map<number, number>;
    /** Set after a failure: slots of `generation` are not reused until the coordinator raises it. */
    suspended?: TargetObservation;
    /** Start id announced with `generation`, or the first one received from the target under it. */
    startId?: string;
}

export function createHeldTarget(target: string): HeldTarget {
    return {
        target,
        generation: 0,
        condition: "cold",
        received: 0,
        newlyGranted: false,
        completed: 0,
        free: 0,
        inUse: new Map(),
    };
}

export function countInUse(held: HeldTarget): number {
    let count = 0;
    for (const inUse of held.inUse.values()) count += inUse;
    return count;
}

/** Applies an announced state; returns the number of free slots that a new generation withdraws. */
export function applyTargetState(held: HeldTarget, state: TargetState): number {
    if (state.generation < held.generation) return 0;
    held.condition = state.condition;
    if (state.generation === held.generation) {
        held.startId ??= state.startId;
        return 0;
    }
    const removed = held.free;
    held.generation = state.generation;
    held.received = 0;
    held.completed = 0;
    held.free = 0;
    held.suspended = undefined;
    held.startId = state.startId;
    return removed;
}

/** Adds the slots of a cumulative grant that have not been received yet; returns their number. */
export function applyGrant(held: HeldTarget, grant: GrantTotal): number {
    if (grant.generation !== held.generation || grant.total <= held.received) return 0;
    const added = grant.total - held.received;
    held.received = grant.total;
    held.free += added;
    held.newlyGranted = true;
    return added;
}

export function takeSlot(held: HeldTarget): number {
    held.free -= 1;
    held.newlyGranted = false;
    held.inUse.set(held.generation, (held.inUse.get(held.generation) ?? 0) + 1);
    return held.generation;
}

/** Releases a slot. Returns whether it can be reused; otherwise it has expired. */
export function releaseSlot(held: HeldTarget, generation: number): boolean {
    const inUse = (held.inUse.get(generation) ?? 0) - 1;
    if (inUse > 0) held.inUse.set(generation, inUse);
    else held.inUse.delete(generation);
    const reusable = generation === held.generation && held.suspended === undefined;
    if (reusable) held.free += 1;
    return reusable;
}

export function recordCompletion(held: HeldTarget, generation: number): void {
    if (generation === held.generation) held.completed += 1;
}

/** Lists the slots for a report. Slots of older generations are listed while they are in use. */
export function listSlotCounts(held: HeldTarget): readonly SlotCount[] {
    const counts: SlotCount[] = [];
    for (const [generation, inUse] of held.inUse) {
        const free = generation === held.generation ? held.free : 0;
        counts.push({ target: held.target, generation, held: inUse + free, inUse });
    }
    if (held.free > 0 && !held.inUse.has(held.generation))
        counts.push({ target: held.target, generation: held.generation, held: held.free, inUse: 0 });
    return counts;
}
