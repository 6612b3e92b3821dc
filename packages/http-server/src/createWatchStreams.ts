/** Watch requests of operators: each changed resource is sent as one line of JSON (NDJSON). */
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import type { Context } from "koa";
import type { HttpServerOptions } from "./httpServerOptions.js";
import { RequestError } from "./requestError.js";

// Enough for a few tools per operator; each watch costs one callback per change.
const maxWatches = 64;

export interface WatchStreams {
    readonly openStream: (ctx: Context, kind: ResourceKind, afterRevision: number) => void;
    /** Ends all watches, which otherwise end only when the operator disconnects. */
    readonly closeAll: () => void;
}

export function createWatchStreams(opts: Pick<HttpServerOptions, "watchResources" | "limits">): WatchStreams {
    const closers = new Set<() => void>();

    return {
        openStream: (ctx, kind, afterRevision) => {
            if (closers.size >= maxWatches)
                throw new RequestError("OVERLOADED", { detail: "Too many watches are open." });
            const { res } = ctx;
            ctx.respond = false;
            res.writeHead(200, { "content-type": "application/x-ndjson" });
            res.flushHeaders();
            const sendChange = (resource: Resource): void => {
                if (resource.kind !== kind || res.destroyed) return;
                res.write(`${JSON.stringify(resource)}\n`);
                // A slow reader is disconnected; the command line tool resumes at the last revision that it read.
                if (res.writableLength > opts.limits.maxBufferedBytes) res.destroy();
            };
            const stopWatch = opts.watchResources(afterRevision, sendChange);
            const closeStream = (): void => {
                res.end();
            };
            closers.add(closeStream);
            res.once("close", () => {
                closers.delete(closeStream);
                stopWatch();
            });
        },
        closeAll: () => closers.forEach(closeStream => closeStream()),
    };
}
