/** What the stand-ins of model engines and plain services share: cold phase, load reports, restarts, overload, faults. */
import Router from "@koa/router";
import Koa from "koa";
import type { Context } from "koa";
import { createColdPhase } from "./createColdPhase.js";
import type { ColdPhase } from "./createColdPhase.js";
import { createFaultPlan } from "./createFaultPlan.js";
import type { FaultPlan } from "./createFaultPlan.js";
import { createLoadSampler } from "./createLoadSampler.js";
import { createRandom } from "./createRandom.js";
import { createServerHarness } from "./createServerHarness.js";
import { BodyError, readJson } from "./readBody.js";

export interface TargetServerOptions {
    readonly seed?: number;
    readonly clock?: () => number;
    readonly coldLimit?: number;
    readonly warmAfterCompleted?: number;
    readonly warmAfterMs?: number;
    readonly startsCold?: boolean;
    /** Time between load samples; 0 samples on every read. */
    readonly loadLagMs?: number;
    /** Time for which connections are refused after the target fell over. */
    readonly fellOverMs?: number;
}

export interface TargetServerParts<Fault extends string> {
    readonly countRunning: () => number;
    readonly countQueued: () => number;
    /** Forgets the work of the process, as at a crash. */
    readonly clearWork: () => void;
    readonly readStats: () => Readonly<Record<string, unknown>>;
    readonly addRoutes: (router: Router, server: TargetServer<Fault>) => void;
}

export interface TargetServer<Fault extends string> {
    readonly listen: (port: number) => Promise<{ readonly port: number; }>;
    readonly close: () => Promise<void>;
    readonly restart: () => void;
    /** Refuses connections for a time, then comes back cold with a new start id. */
    readonly fallOver: () => void;
    readonly setFaults: (amounts: Partial<Record<Fault, number>>) => void;
    readonly readStats: () => Readonly<Record<string, unknown>>;
    readonly cold: ColdPhase;
    readonly faults: FaultPlan<Fault>;
}

const controlBodyLimitBytes = 65_536;

/** Answers without koa: the routes that stream or misbehave write to the response themselves. */
export function takeResponse(context: Context): Context["res"] {
    context.respond = false;
    return context.res;
}

export function createTargetServer<Fault extends string>(
    parts: TargetServerParts<Fault>,
    opts: TargetServerOptions,
): TargetServer<Fault> {
    const clock = opts.clock ?? (() => performance.now());
    const cold = createColdPhase({
        clock,
        coldLimit: opts.coldLimit ?? 2,
        warmAfterCompleted: opts.warmAfterCompleted ?? 20,
        warmAfterMs: opts.warmAfterMs ?? 30_000,
        startsCold: opts.startsCold ?? true,
    });
    const faults = createFaultPlan<Fault>(createRandom(opts.seed ?? 1));
    const takeSample = () => ({
        startId: cold.getStartId(),
        running: parts.countRunning(),
        queued: parts.countQueued(),
    });
    const load = createLoadSampler(takeSample, { clock, lagMs: opts.loadLagMs ?? 200 });
    const app = new Koa();
    const harness = createServerHarness(app.callback());

    const beginLife = (): void => {
        parts.clearWork();
        cold.restart();
    };
    const readStats = () => ({ ...cold.readStats(), faults: faults.countTaken(), ...parts.readStats() });
    const server: TargetServer<Fault> = {
        listen: harness.listen,
        close: () => {
            load.close();
            parts.clearWork();
            return harness.close();
        },
        restart: () => {
            beginLife();
            harness.dropConnections();
        },
        fallOver: () => {
            beginLife();
            harness.refuseConnections(opts.fellOverMs ?? 1_000);
        },
        setFaults: faults.set,
        readStats,
        cold,
        faults,
    };

    const router = new Router();
    router.get("/load", context => {
        context.body = load.read();
    });
    router.get("/control/stats", context => {
        context.body = readStats();
    });
    router.post("/control/restart", context => {
        context.body = {};
        context.res.once("finish", server.restart);
    });
    router.put("/control/faults", async context => {
        faults.set(await readJson(context.req, controlBodyLimitBytes) as Partial<Record<Fault, number>>);
        context.body = {};
    });
    parts.addRoutes(router, server);
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
