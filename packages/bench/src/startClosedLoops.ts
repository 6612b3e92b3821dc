/** Starts closed-loop load and collects the results until it is stopped. */
import { createCaller } from "./createCaller.js";
import type { CallerResult } from "./createCaller.js";
import { runClosedLoop } from "./runClosedLoop.js";
import type { ClosedLoop, LoopCallbacks } from "./runClosedLoop.js";

export interface RunningLoops {
    readonly results: readonly CallerResult[];
    /** Aborts the open requests and discards their results. */
    readonly stop: () => Promise<void>;
}

export function startClosedLoops(
    loops: readonly ClosedLoop[],
    onService: LoopCallbacks["onService"] = () => undefined,
): RunningLoops {
    const caller = createCaller();
    const results: CallerResult[] = [];
    let running = true;
    const loopPromises = loops.map(loop =>
        runClosedLoop(caller, loop, {
            isRunning: () => running,
            onResult: (_workspace, result) => running && results.push(result),
            onService,
        })
    );
    const stop = async () => {
        running = false;
        await caller.close();
        await Promise.all(loopPromises);
    };
    return { results, stop };
}
