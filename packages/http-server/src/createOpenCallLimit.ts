/** Counts open calls per workspace, so that one workspace's flood leaves the others their share of the router. */
import type { HttpLimits } from "./httpServerOptions.js";
import { RequestError } from "./requestError.js";

export interface OpenCallLimit {
    /** Counts a call in, or throws `QUEUE_FULL` or `OVERLOADED`; the returned function counts it out, once. */
    readonly openCall: (workspace: string) => () => void;
    readonly countOpenCalls: () => number;
}

export function createOpenCallLimit(
    limits: Pick<HttpLimits, "maxOpenCalls" | "maxOpenCallsPerWorkspace">,
): OpenCallLimit {
    const perWorkspace = new Map<string, number>();
    let total = 0;

    return {
        openCall: workspace => {
            const open = perWorkspace.get(workspace) ?? 0;
            if (open >= limits.maxOpenCallsPerWorkspace) {
                throw new RequestError("QUEUE_FULL", {
                    detail: `The workspace has ${open} open calls at this router, which is the limit.`,
                });
            }
            if (total >= limits.maxOpenCalls) throw new RequestError("OVERLOADED");
            perWorkspace.set(workspace, open + 1);
            total += 1;
            let closed = false;
            return () => {
                if (closed) return;
                closed = true;
                total -= 1;
                const left = (perWorkspace.get(workspace) ?? 1) - 1;
                if (left === 0) perWorkspace.delete(workspace);
                else perWorkspace.set(workspace, left);
            };
        },
        countOpenCalls: () => total,
    };
}
