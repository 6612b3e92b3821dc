/** Rendezvous hashing: each router ranks the same names for a key in the same order, without exchanging messages. */
import { hashText } from "./hashText.js";

function scoreName(key: string, name: string): number {
    return hashText(`${key}\n${name}`);
}

/** Whether `challenger` ranks before `holder` for `key`. */
export function ranksBefore(key: string, challenger: string, holder: string): boolean {
    const difference = scoreName(key, challenger) - scoreName(key, holder);
    return difference > 0 || (difference === 0 && challenger < holder);
}

/** Ranks `names` for `key`, best first. Removing a name leaves the order of the others unchanged. */
export function rankByRendezvous(key: string, names: readonly string[]): readonly string[] {
    return names
        .map(name => ({ name, score: scoreName(key, name) }))
        .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
        .map(entry => entry.name);
}

/** Chooses the best of `names` for `key`; `undefined` if there are none. */
export function chooseByRendezvous(key: string, names: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    for (const name of names) {
        const score = scoreName(key, name);
        if (score < bestScore || (score === bestScore && best !== undefined && best < name)) continue;
        best = name;
        bestScore = score;
    }
    return best;
}
