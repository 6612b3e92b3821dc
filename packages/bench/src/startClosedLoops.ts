/** Starts closed loops of completions and collects their results until they are stopped. */
import { createCaller } from "./createCaller.js";
import type { CallerResult } from "./createCaller.js";
import { runClosedLoop } from "./runClosedLoop.js";
import type { ClosedLoop, LoopCallbacks } from "./runClosedLoop.js";

export interface RunningLoops {
    readonly results: readonly CallerResult[];
    /** Abandons the requests that are open; they do not count. */
    readonly stop: () => Promise<void>;
}

export function startClosedLoops(
    loops: readonly ClosedLoop[],
    onService: LoopCallbacks["onService"] = () => undefined,
): RunningLoops {
    const caller = createCaller();
    const results: CallerResult[] = [];
    let running = true;
    const work = loops.map(loop =>
        runClosedLoop(caller, loop, {
            isRunning: () => running,
            onResult: (_workspace, result) => running && results.push(result),
            onService,
        })
    );
    const stop = async () => {
        running = false;
        await caller.close();
        await Promise.all(work);
    };
    return { results, stop };
}
