/** Limits open calls in total and per workspace, so that one workspace cannot use all of the router's capacity. */
import type { HttpLimits } from "./httpServerOptions.js";
import { RequestError } from "./requestError.js";

export interface OpenCallLimit {
    /** Counts a call as open, or throws `QUEUE_FULL` or `OVERLOADED`; the returned function counts it as ended. */
    readonly openCall: (workspace: string) => () => void;
    readonly countOpenCalls: () => number;
}

export function createOpenCallLimit(
    limits: Pick<HttpLimits, "maxOpenCalls" | "maxOpenCallsPerWorkspace">,
): OpenCallLimit {
    const openByWorkspace = new Map<string, number>();
    let total = 0;

    return {
        openCall: workspace => {
            const open = openByWorkspace.get(workspace) ?? 0;
            if (open >= limits.maxOpenCallsPerWorkspace) {
                throw new RequestError("QUEUE_FULL", {
                    detail: `The workspace has ${open} open calls at this router, which is the limit.`,
                });
            }
            if (total >= limits.maxOpenCalls) throw new RequestError("OVERLOADED");
            openByWorkspace.set(workspace, open + 1);
            total += 1;
            let closed = false;
            return () => {
                if (closed) return;
                closed = true;
                total -= 1;
                const remaining = (openByWorkspace.get(workspace) ?? 1) - 1;
                if (remaining === 0) openByWorkspace.delete(workspace);
                else openByWorkspace.set(workspace, remaining);
            };
        },
        countOpenCalls: () => total,
    };
}
