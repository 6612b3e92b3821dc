/** Which faults a stand-in shows next. A number below 1 is a probability, any other number a count of occurrences left. */

export interface FaultPlan<Name extends string> {
    /** Replaces the amounts of the named faults; faults that are not named keep theirs. */
    readonly set: (amounts: Partial<Record<Name, number>>) => void;
    /** Whether the fault occurs now; uses up one occurrence of a counted fault. */
    readonly take: (name: Name) => boolean;
    /** Amount that is set, for parameters that are set together with the faults. */
    readonly getAmount: (name: Name) => number | undefined;
    /** Occurrences so far. */
    readonly countTaken: () => Readonly<Partial<Record<Name, number>>>;
}

export function createFaultPlan<Name extends string>(random: () => number): FaultPlan<Name> {
    const amounts = new Map<Name, number>();
    const taken: Partial<Record<Name, number>> = {};

    const isDue = (name: Name): boolean => {
        const amount = amounts.get(name) ?? 0;
        if (amount <= 0) return false;
        if (amount < 1) return random() < amount;
        amounts.set(name, amount - 1 >= 1 ? amount - 1 : 0);
        return true;
    };

    return {
        set: wanted => {
            for (const name of Object.keys(wanted) as Name[]) amounts.set(name, wanted[name] ?? 0);
        },
        take: name => {
            const due = isDue(name);
            if (due) taken[name] = (taken[name] ?? 0) + 1;
            return due;
        },
        getAmount: name => amounts.get(name),
        countTaken: () => taken,
    };
}
