/** Fake time and seeded chance: tasks run in order of time, then in the order in which they were added. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export function createFakeClock(seed: number) {
    const random = xoroshiro128plus(seed);
    const agenda = new Map<number, (() => void)[]>();
    let now = 0;
    return {
        getNow: () => now,
        add: (time: number, run: () => void) => {
            const due = Math.max(now, Math.round(time));
            const tasks = agenda.get(due) ?? [];
            agenda.set(due, tasks);
            tasks.push(run);
        },
        run: (until: number, onStep?: () => void) => {
            for (; now < until; now += 1) {
                onStep?.();
                for (let tasks = agenda.get(now); tasks !== undefined; tasks = agenda.get(now)) {
                    agenda.delete(now);
                    for (const task of tasks) task();
                }
            }
        },
        choose: (least: number, greatest: number) => uniformInt(random, least, greatest),
        chance: (percent: number) => percent > 0 && uniformInt(random, 1, 100) <= percent,
    };
}

export type FakeClock = ReturnType<typeof createFakeClock>;
