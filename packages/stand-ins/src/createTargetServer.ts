/** Common base of the model and plain stand-ins: warm-up, load reports, restarts, overload and fault injection. */
import Router from "@koa/router";
import Koa from "koa";
import type { Context } from "koa";
import { createFaultInjector } from "./createFaultInjector.js";
import type { FaultInjector } from "./createFaultInjector.js";
import { createLoadSampler } from "./createLoadSampler.js";
import { createLoopbackServer } from "./createLoopbackServer.js";
import { createRandom } from "./createRandom.js";
import { createTargetProcess } from "./createTargetProcess.js";
import type { TargetProcess } from "./createTargetProcess.js";
import { BodyError, readJson } from "./readBody.js";

export interface TargetServerOptions {
    readonly seed?: number;
    readonly getNow?: () => number;
    readonly coldLimit?: number;
    readonly warmAfterCompleted?: number;
    readonly warmAfterMs?: number;
    readonly startsCold?: boolean;
    /** Interval between load samples; 0 takes a sample on every read. */
    readonly loadLagMs?: number;
    /** Time for which connections are refused after a crash. */
    readonly fellOverMs?: number;
}

export interface TargetServerHooks<Fault extends string> {
    readonly countRunning: () => number;
    readonly countQueued: () => number;
    /** Discards all running and queued requests, as a crash does. */
    readonly dropRequests: () => void;
    readonly readStats: () => Readonly<Record<string, unknown>>;
    readonly addRoutes: (router: Router, server: TargetServer<Fault>) => void;
}

export interface TargetServer<Fault extends string> {
    readonly listen: (port: number) => Promise<{ readonly port: number; }>;
    readonly close: () => Promise<void>;
    readonly restart: () => void;
    /** Simulates a crash: refuses connections for `fellOverMs`, then accepts them with a new start id, cold. */
    readonly crash: () => void;
    readonly setFaults: (amounts: Partial<Record<Fault, number>>) => void;
    readonly readStats: () => Readonly<Record<string, unknown>>;
    readonly targetProcess: TargetProcess;
    readonly faults: FaultInjector<Fault>;
}

const maxControlBodyBytes = 65_536;

/** Bypasses koa's response handling for routes that stream or inject faults, and returns the Node.js response. */
export function useRawResponse(context: Context): Context["res"] {
    context.respond = false;
    return context.res;
}

export function createTargetServer<Fault extends string>(
    hooks: TargetServerHooks<Fault>,
    opts: TargetServerOptions,
): TargetServer<Fault> {
    const getNow = opts.getNow ?? (() => performance.now());
    const targetProcess = createTargetProcess({
        getNow,
        coldLimit: opts.coldLimit ?? 2,
        warmAfterCompleted: opts.warmAfterCompleted ?? 20,
        warmAfterMs: opts.warmAfterMs ?? 30_000,
        startsCold: opts.startsCold ?? true,
    });
    const faults = createFaultInjector<Fault>(createRandom(opts.seed ?? 1));
    const takeSample = () => ({
        startId: targetProcess.getStartId(),
        running: hooks.countRunning(),
        queued: hooks.countQueued(),
    });
    const loadSampler = createLoadSampler(takeSample, { getNow, sampleIntervalMs: opts.loadLagMs ?? 200 });
    const app = new Koa();
    const httpServer = createLoopbackServer(app.callback());

    const resetProcess = (): void => {
        hooks.dropRequests();
        targetProcess.restart();
    };
    const readStats = () => ({
        ...targetProcess.readStats(),
        faults: faults.getInjectedCounts(),
        ...hooks.readStats(),
    });
    const server: TargetServer<Fault> = {
        listen: httpServer.listen,
        close: () => {
            loadSampler.close();
            hooks.dropRequests();
            return httpServer.close();
        },
        restart: () => {
            resetProcess();
            httpServer.destroyConnections();
        },
        crash: () => {
            resetProcess();
            httpServer.refuseConnections(opts.fellOverMs ?? 1_000);
        },
        setFaults: faults.set,
        readStats,
        targetProcess,
        faults,
    };

    const router = new Router();
    router.get("/load", context => {
        context.body = loadSampler.read();
    });
    router.get("/control/stats", context => {
        context.body = readStats();
    });
    router.post("/control/restart", context => {
        context.body = {};
        context.res.once("finish", server.restart);
    });
    router.put("/control/faults", async context => {
        faults.set(await readJson(context.req, maxControlBodyBytes) as Partial<Record<Fault, number>>);
        context.body = {};
    });
    hooks.addRoutes(router, server);
    app.silent = true;
    app.use(async (context, next) => {
        try {
            await next();
        }
        catch (error) {
            if (!(error instanceof BodyError)) return void context.req.socket.destroy();
            context.status = error.status;
            context.body = { error: error.message };
        }
    });
    app.use(router.routes());
    return server;
}
