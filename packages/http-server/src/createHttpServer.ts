/** HTTP server of a router: callers, operators and health on one port. */
import Router from "@koa/router";
import Koa from "koa";
import type { Middleware } from "koa";
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { checkRequest } from "./checkRequest.js";
import { createCallerRoutes } from "./createCallerRoutes.js";
import { createDirectory } from "./createDirectory.js";
import { createOpenCallLimit } from "./createOpenCallLimit.js";
import { createOperatorRoutes } from "./createOperatorRoutes.js";
import type { WatchStreams } from "./createWatchStreams.js";
import { createWatchStreams } from "./createWatchStreams.js";
import type { HttpServer, HttpServerOptions } from "./httpServerOptions.js";
import { RequestError } from "./requestError.js";
import { sendError } from "./sendError.js";
import { serveConnections } from "./serveConnections.js";

// A caller that needs longer for the headers or for the whole request holds a connection for nothing.
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
// Longer than the usual 60 s of load balancers, so that the balancer and not the router closes idle connections.
const keepAliveTimeoutMs = 65_000;
// Share of `maxConnections` above which idle connections are closed to make room.
const crowdedShare = 0.9;

export function createHttpServer(opts: HttpServerOptions): HttpServer {
    const watchStreams = createWatchStreams(opts);
    const directory = createDirectory(opts.configuration);
    const openCallLimit = createOpenCallLimit(opts.limits);
    let closing = false;

    const routers = [
        createHealthRoutes(opts),
        createCallerRoutes({ ...opts, directory, openCallLimit }),
        createOperatorRoutes({ ...opts, watchStreams }),
    ];
    const app = new Koa();
    app.silent = true;
    app.use(createErrorMiddleware(opts, () => closing));
    for (const router of routers) app.use(router.routes());
    app.use(refuseRoute);

    const server = createServer({
        insecureHTTPParser: false,
        maxHeaderSize: opts.limits.maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: keepAliveTimeoutMs,
    });
    hardenServer(server, opts);
    const handleRequest = app.callback();
    serveConnections(server, opts.createId, (req, res) => void handleRequest(req, res));

    return {
        listen: (host, port) => listen(server, host, port),
        startDrain: () => {
            closing = true;
        },
        close: () => {
            closing = true;
            return closeServer(server, watchStreams);
        },
    };
}

function hardenServer(server: Server, opts: HttpServerOptions): void {
    server.maxConnections = opts.limits.maxConnections;
    // Node.js would drop headers over a count silently; their size is limited instead.
    server.maxHeadersCount = 0;
    // A connection that cannot be accepted, for example for lack of file descriptors, must not end the process.
    server.on("error", error => opts.reportError?.("", error));
    server.on("connection", () => {
        server.getConnections((_error, count) => {
            if (count > opts.limits.maxConnections * crowdedShare) server.closeIdleConnections();
        });
    });
}

function createErrorMiddleware(
    opts: Pick<HttpServerOptions, "createId" | "reportError">,
    isClosing: () => boolean,
): Middleware {
    return async (ctx, next) => {
        const requestId = opts.createId();
        ctx.state["requestId"] = requestId;
        ctx.set("rhubarbwheel-request-id", requestId);
        if (isClosing()) ctx.set("connection", "close");
        // A write that fails because the caller has gone is followed by "close", on which the call is cancelled.
        ctx.res.on("error", () => undefined);
        try {
            checkRequest(ctx.req);
            await next();
        }
        catch (error) {
            ctx.respond = false;
            if (!(error instanceof RequestError)) opts.reportError?.(requestId, error);
            const internal = { code: "INTERNAL", outcome: "unknown" } as const;
            sendError(ctx.res, requestId, error instanceof RequestError ? error.answer : internal);
        }
    };
}

const refuseRoute: Middleware = ctx => {
    const matched = (ctx["matched"] as { readonly methods: readonly string[]; }[] | undefined) ?? [];
    const allowed = [...new Set(matched.flatMap(layer => layer.methods))];
    if (allowed.length === 0) throw new RequestError("ROUTE_UNKNOWN");
    ctx.set("allow", allowed.join(", "));
    throw new RequestError("METHOD_NOT_ALLOWED");
};

function createHealthRoutes(opts: Pick<HttpServerOptions, "getReadiness">): Router {
    const router = new Router();
    router.get("/livez", ctx => {
        ctx.body = { live: true };
    });
    router.get("/readyz", ctx => {
        const readiness = opts.getReadiness();
        ctx.status = readiness.ready ? 200 : 503;
        ctx.body = readiness;
    });
    return router;
}

function listen(server: Server, host: string, port: number): Promise<{ readonly port: number; }> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve({ port: (server.address() as AddressInfo).port });
        });
    });
}

function closeServer(server: Server, watchStreams: WatchStreams): Promise<void> {
    watchStreams.closeAll();
    return new Promise(resolve => {
        server.close(() => resolve());
        // Connections whose answer began before the close are still kept alive after it.
        const timer = setInterval(() => server.closeIdleConnections(), 50);
        server.once("close", () => clearInterval(timer));
    });
}
