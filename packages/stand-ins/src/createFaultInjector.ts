/** Decides which faults a stand-in injects. An amount below 1 is a probability, any other a number of occurrences. */

export interface FaultInjector<Name extends string> {
    /** Replaces the amounts of the given faults; other faults keep theirs. */
    readonly set: (amounts: Partial<Record<Name, number>>) => void;
    /** Whether to inject the fault now; uses up one occurrence of a counted fault. */
    readonly isInjected: (name: Name) => boolean;
    /** Returns the amount of a name, for parameters that are set together with the faults. */
    readonly getAmount: (name: Name) => number | undefined;
    /** Number of injections so far by fault. */
    readonly getInjectedCounts: () => Readonly<Partial<Record<Name, number>>>;
}

export function createFaultInjector<Name extends string>(random: () => number): FaultInjector<Name> {
    const amounts = new Map<Name, number>();
    const injectedCounts: Partial<Record<Name, number>> = {};

    const takeOccurrence = (name: Name): boolean => {
        const amount = amounts.get(name) ?? 0;
        if (amount <= 0) return false;
        if (amount < 1) return random() < amount;
        amounts.set(name, amount - 1 >= 1 ? amount - 1 : 0);
        return true;
    };

    return {
        set: newAmounts => {
            for (const name of Object.keys(newAmounts) as Name[]) amounts.set(name, newAmounts[name] ?? 0);
        },
        isInjected: name => {
            const injected = takeOccurrence(name);
            if (injected) injectedCounts[name] = (injectedCounts[name] ?? 0) + 1;
            return injected;
        },
        getAmount: name => amounts.get(name),
        getInjectedCounts: () => injectedCounts,
    };
}
