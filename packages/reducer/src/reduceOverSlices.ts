/** Dispatches events to slices and collects their effects. */

interface ReducingSlice<E, F> {
    readonly reduce: (event: E) => readonly F[];
}

/** Maximum number of raised events per step. A step usually raises a few; more indicates a loop between slices. */
const maxRaisedEventsPerStep = 10_000;

/**
 * Reduces `event` and then, in order, the events that its effects are converted to. `convertToEvent` returns
 * `undefined` for effects to be executed by the caller.
 */
export function reduceOverSlices<E extends { readonly type: string; readonly now: number; }, F>(
    slices: readonly ReducingSlice<E, F>[],
    event: E,
    convertToEvent: (effect: F, now: number) => E | undefined,
): readonly F[] {
    const effects: F[] = [];
    const pending: E[] = [event];
    for (let index = 0; index < pending.length; index++) {
        if (index > maxRaisedEventsPerStep)
            throw new Error(`Event ${event.type} raises too many events in one step.`);
        const current = pending[index]!;
        for (const slice of slices) {
            for (const effect of slice.reduce(current)) {
                const raised = convertToEvent(effect, event.now);
                if (raised === undefined) effects.push(effect);
                else pending.push(raised);
            }
        }
    }
    return effects;
}
