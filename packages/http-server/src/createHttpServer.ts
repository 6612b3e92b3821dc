/** HTTP server of a router: routes for callers, operators and health checks on one port. */
import Router from "@koa/router";
import Koa from "koa";
import type { Middleware } from "koa";
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { checkRequest } from "./checkRequest.js";
import { createCallerRoutes } from "./createCallerRoutes.js";
import { createConfigurationIndex } from "./createConfigurationIndex.js";
import { createOpenCallLimit } from "./createOpenCallLimit.js";
import { createOperatorRoutes } from "./createOperatorRoutes.js";
import type { WatchStreams } from "./createWatchStreams.js";
import { createWatchStreams } from "./createWatchStreams.js";
import type { HttpServer, HttpServerOptions } from "./httpServerOptions.js";
import { RequestError } from "./requestError.js";
import { sendError } from "./sendError.js";
import { serveConnections } from "./serveConnections.js";

// Limits how long a slow caller can occupy a connection before its request is complete.
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
// Longer than the usual idle timeout of load balancers, 60 s, so that the load balancer closes idle connections first.
const keepAliveTimeoutMs = 65_000;
// Fraction of `maxConnections` above which idle connections are closed to make room for new ones.
const idleCloseRatio = 0.9;

export function createHttpServer(opts: HttpServerOptions): HttpServer {
    const watchStreams = createWatchStreams(opts);
    const configurationIndex = createConfigurationIndex(opts.configuration);
    const openCallLimit = createOpenCallLimit(opts.limits);
    let closing = false;

    const routers = [
        createHealthRoutes(opts),
        createCallerRoutes({ ...opts, configurationIndex, openCallLimit }),
        createOperatorRoutes({ ...opts, watchStreams }),
    ];
    const app = new Koa();
    app.silent = true;
    app.use(createErrorMiddleware(opts, () => closing));
    for (const router of routers) app.use(router.routes());
    app.use(rejectUnmatchedRequest);

    const server = createServer({
        insecureHTTPParser: false,
        maxHeaderSize: opts.limits.maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: keepAliveTimeoutMs,
    });
    configureServer(server, opts);
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

function configureServer(server: Server, opts: HttpServerOptions): void {
    server.maxConnections = opts.limits.maxConnections;
    // No limit on the number of headers, beyond which Node.js silently drops them; `maxHeaderBytes` limits their size.
    server.maxHeadersCount = 0;
    // Without a listener, a failure to accept a connection, for example for lack of file descriptors, ends the process.
    server.on("error", error => opts.reportError?.("", error));
    server.on("connection", () => {
        server.getConnections((_error, count) => {
            if (count > opts.limits.maxConnections * idleCloseRatio) server.closeIdleConnections();
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
        // A write that fails because the caller has disconnected is followed by "close", which cancels the call.
        ctx.res.on("error", () => undefined);
        try {
            checkRequest(ctx.req);
            await next();
        }
        catch (error) {
            ctx.respond = false;
            if (!(error instanceof RequestError)) opts.reportError?.(requestId, error);
            const internalError = { code: "INTERNAL", outcome: "unknown" } as const;
            sendError(ctx.res, requestId, error instanceof RequestError ? error.response : internalError);
        }
    };
}

const rejectUnmatchedRequest: Middleware = ctx => {
    const matchedLayers = (ctx["matched"] as { readonly methods: readonly string[]; }[] | undefined) ?? [];
    const allowed = [...new Set(matchedLayers.flatMap(layer => layer.methods))];
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
        // Connections whose response started before the close are still kept alive after it.
        const timer = setInterval(() => server.closeIdleConnections(), 50);
        server.once("close", () => clearInterval(timer));
    });
}
