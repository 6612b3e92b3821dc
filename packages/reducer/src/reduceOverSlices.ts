/** Hands events to slices and collects their effects. */

interface ReducingSlice<E, F> {
    readonly reduce: (event: E) => readonly F[];
}

// A correct step raises a few events; more means that two slices answer each other without end.
const maxRaisedEventsPerStep = 10_000;

/**
 * Reduces `event`, then the events that effects turn into, in order. `convertToEvent` returns the event that an effect
 * turns into, or `undefined` for an effect that has to be carried out.
 */
export function reduceOverSlices<E extends { readonly type: string; readonly now: number; }, F>(
    slices: readonly ReducingSlice<E, F>[],
    event: E,
    convertToEvent: (effect: F, now: number) => E | undefined,
): readonly F[] {
    const effects: F[] = [];
    const pending: E[] = [event];
    for (let index = 0; index < pending.length; index++) {
        if (index > maxRaisedEventsPerStep) throw new Error(`Event ${event.type} raises events without end.`);
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
