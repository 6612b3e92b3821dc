/** Rules to compare the choice of a target with. */
import { createRendezvousChooser } from "@rhubarbwheel/membership/createRendezvousChooser";
import { prefillWeight, runningRequestCostMs } from "../src/placementSettings.js";
import type { ChooserInput } from "./playArrivals.js";

/** The cheapest of `count` targets drawn at random. */
export function drawSome(count: number) {
    return ({ choose, candidates, random }: ChooserInput): number => {
        const rest = [...candidates];
        return choose(Array.from({ length: count }, () => rest.splice(Math.floor(random() * rest.length), 1)[0]!));
    };
}

/** A target at random, weighted by its free slots as reported last. */
export function drawWeighted({ choose, candidates, reports, random }: ChooserInput): number {
    const weights = reports.map(({ running, waiting, slots = 0 }) => Math.max(0.1, slots - running - waiting));
    let rest = random() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex(weight => (rest -= weight) < 0);
    return choose([candidates[Math.max(0, index)]!]);
}

/** The cheapest of the router's own part of the targets, by rendezvous hashing. */
export function createSubsets(ratio: number) {
    const { choose: chooseFirst } = createRendezvousChooser();
    return ({ choose, candidates, router }: ChooserInput): number => {
        const rest = candidates.map(({ target }) => target);
        const chosen = new Set<string>();
        while (chosen.size < candidates.length * ratio) {
            const name = chooseFirst(`router-${router}`, rest)!;
            rest.splice(rest.indexOf(name), 1);
            chosen.add(name);
        }
        return choose(candidates.filter(({ target }) => chosen.has(target)));
    };
}

/** The cheapest target by its true state at this moment. */
export function chooseIdeal({ targets, request, now }: ChooserInput): number {
    const copied = Math.max(...targets.map(({ cache }) => cache.countPrefilledTokens(request.prompt?.parts ?? [])));
    const costs = targets.map(target => {
        const { speed, pace, running, waiting, busyUntil, cache } = target;
        const { prompt } = request;
        if (prompt === undefined) return (45 + Math.max(0, running + waiting - 5) * 45 / 6) * pace / speed + waiting;
        const newTokens = prompt.promptTokens - Math.max(copied, cache.countCachedTokens(prompt.parts));
        const prefillMs = newTokens / speed * pace * (1 + 0.005 * running);
        return Math.max(0, busyUntil - now) + prefillWeight * prefillMs + runningRequestCostMs * running;
    });
    return costs.indexOf(Math.min(...costs));
}
