/** Fake clock and seeded random numbers: tasks run in order of time, then in the order in which they were added. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export function createFakeClock(seed: number) {
    const random = xoroshiro128plus(seed);
    const scheduledTasks = new Map<number, (() => void)[]>();
    let now = 0;
    return {
        getNow: () => now,
        add: (time: number, run: () => void) => {
            const due = Math.max(now, Math.round(time));
            const tasks = scheduledTasks.get(due) ?? [];
            scheduledTasks.set(due, tasks);
            tasks.push(run);
        },
        run: (until: number, onStep?: () => void) => {
            for (; now < until; now += 1) {
                onStep?.();
                for (let tasks = scheduledTasks.get(now); tasks !== undefined; tasks = scheduledTasks.get(now)) {
                    scheduledTasks.delete(now);
                    for (const task of tasks) task();
                }
            }
        },
        randomInt: (min: number, max: number) => uniformInt(random, min, max),
        randomBoolean: (percent: number) => percent > 0 && uniformInt(random, 1, 100) <= percent,
    };
}

export type FakeClock = ReturnType<typeof createFakeClock>;
