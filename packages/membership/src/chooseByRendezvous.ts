/** Rendezvous hashing: all routers rank a set of names for a key in the same order without exchanging messages. */
import { hashText } from "./hashText.js";

function computeScore(key: string, name: string): number {
    return hashText(`${key}\n${name}`);
}

/** Whether `candidate` ranks before `current` for `key`. */
export function isRankedBefore(key: string, candidate: string, current: string): boolean {
    const difference = computeScore(key, candidate) - computeScore(key, current);
    return difference > 0 || (difference === 0 && candidate < current);
}

/** Ranks `names` for `key`, best first. Removing a name does not change the order of the others. */
export function rankByRendezvous(key: string, names: readonly string[]): readonly string[] {
    return names
        .map(name => ({ name, score: computeScore(key, name) }))
        .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
        .map(entry => entry.name);
}

/** Chooses the name with the highest score, the first by name if several have it; `undefined` if there are none. */
export function chooseByScore(
    names: readonly string[],
    computeNameScore: (name: string) => number,
): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    for (const name of names) {
        const score = computeNameScore(name);
        if (score < bestScore || (score === bestScore && best !== undefined && best < name)) continue;
        best = name;
        bestScore = score;
    }
    return best;
}

/** Chooses the best of `names` for `key`; `undefined` if there are none. */
export function chooseByRendezvous(key: string, names: readonly string[]): string | undefined {
    return chooseByScore(names, name => computeScore(key, name));
}
