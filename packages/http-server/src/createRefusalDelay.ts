/** Holds back refusals, so that a caller that sends the next request at once cannot keep the router busy with them. */
import type { ServerResponse } from "node:http";

// A refusal costs about as much CPU time as a small call; at this pause, 100 connections cost about a tenth of a core.
const refusalDelayMs = 100;

export interface RefusalDelay {
    /** Resolves when the refusal may be sent. */
    readonly holdRefusal: (workspace: string, res: ServerResponse) => Promise<void>;
}

/** Holds at most `maxHeldPerWorkspace` refusals; further ones are sent at once and end their connection. */
export function createRefusalDelay(maxHeldPerWorkspace: number): RefusalDelay {
    const held = new Map<string, number>();

    const changeCount = (workspace: string, change: number): void => {
        const count = (held.get(workspace) ?? 0) + change;
        if (count === 0) held.delete(workspace);
        else held.set(workspace, count);
    };

    return {
        holdRefusal: (workspace, res) => {
            if ((held.get(workspace) ?? 0) >= maxHeldPerWorkspace) {
                res.setHeader("connection", "close");
                return Promise.resolve();
            }
            changeCount(workspace, 1);
            return new Promise(resolve => {
                const release = (): void => {
                    clearTimeout(timer);
                    res.off("close", release);
                    changeCount(workspace, -1);
                    resolve();
                };
                const timer = setTimeout(release, refusalDelayMs);
                res.once("close", release);
            });
        },
    };
}
