/** Delays refusals, so that a caller that retries immediately cannot overload the router. */
import type { ServerResponse } from "node:http";

// A refusal takes about as much CPU time as a small call; with this delay, 100 connections use about 10% of a core.
const refusalDelayMs = 100;

export interface RefusalDelay {
    /** Resolves when the refusal may be sent, or when the connection closes. */
    readonly delayRefusal: (workspace: string, res: ServerResponse) => Promise<void>;
}

/** Delays up to `maxDelayedPerWorkspace` refusals at a time; further ones are sent at once and close the connection. */
export function createRefusalDelay(maxDelayedPerWorkspace: number): RefusalDelay {
    const delayedByWorkspace = new Map<string, number>();

    const addToCount = (workspace: string, change: number): void => {
        const count = (delayedByWorkspace.get(workspace) ?? 0) + change;
        if (count === 0) delayedByWorkspace.delete(workspace);
        else delayedByWorkspace.set(workspace, count);
    };

    return {
        delayRefusal: (workspace, res) => {
            if ((delayedByWorkspace.get(workspace) ?? 0) >= maxDelayedPerWorkspace) {
                res.setHeader("connection", "close");
                return Promise.resolve();
            }
            addToCount(workspace, 1);
            return new Promise(resolve => {
                const release = (): void => {
                    clearTimeout(timer);
                    res.off("close", release);
                    addToCount(workspace, -1);
                    resolve();
                };
                const timer = setTimeout(release, refusalDelayMs);
                res.once("close", release);
            });
        },
    };
}
