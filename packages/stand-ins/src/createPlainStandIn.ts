/** Stand-in for a plain service that records every execution, so that a checker can prove at-most-once execution. */
import type { Context } from "koa";
import { setTimeout as sleep } from "node:timers/promises";
import { createTargetServer, takeResponse } from "./createTargetServer.js";
import type { TargetServer, TargetServerOptions } from "./createTargetServer.js";
import { readJson } from "./readBody.js";

/** Faults of the plain stand-in: probability below 1, else a count of requests. */
export type PlainFault =
    /** Executes the call, then breaks the connection without an answer. */
    | "dropAnswer"
    /** Breaks the connection on arrival, before the body is read; nothing is executed. */
    | "closeBeforeReading"
    /** Executes the call, then answers 500. */
    | "status500"
    /** Answers 503 with `x-not-run: true`, without executing the call. */
    | "notRun"
    /** Executes the call, then answers with bytes that are no HTTP message. */
    | "garbage"
    /** Executes the call, then breaks the connection in the middle of the answer's body. */
    | "shortBody"
    /** Executes the call and never answers. */
    | "hang"
    /** Sends 103 and 102 before the answer. */
    | "informational"
    /** Answers with the request id of another request. */
    | "crossed";

export interface PlainStandInOptions extends TargetServerOptions {
    readonly executeMs?: number;
    readonly lookupMs?: number;
    /** Calls carried out at the same time; later ones wait in order of arrival. */
    readonly maxParallel?: number;
}

export interface PlainStandIn extends TargetServer<PlainFault> {
    /** Executions by order id. */
    readonly readExecutions: () => Readonly<Record<string, number>>;
}

const bodyLimitBytes = 1_048_576;
/** Paths whose calls are recorded by `orderId` of the body. */
const executingPaths = ["/orders", "/invoices", "/bookings", "/charges"];
const lookupPaths = ["/stock", "/availability"];

export function createPlainStandIn(opts: PlainStandInOptions = {}): PlainStandIn {
    const executions = new Map<string, number>();
    const waiting: (() => void)[] = [];
    const maxParallel = opts.maxParallel ?? 16;
    let running = 0;
    let lookups = 0;

    const acquirePlace = async (): Promise<void> => {
        if (running >= maxParallel) await new Promise<void>(resolve => waiting.push(resolve));
        else running += 1;
    };

    /** Hands the place to the next call that waits. */
    const releasePlace = (): void => {
        const next = waiting.shift();
        if (next === undefined) running -= 1;
        else next();
    };

    const sendAnswer = (context: Context, server: TargetServer<PlainFault>, status: number, value: unknown): void => {
        const { faults } = server;
        const response = takeResponse(context);
        if (faults.take("dropAnswer")) return void response.destroy();
        if (faults.take("hang")) return;
        if (faults.take("garbage")) return void context.req.socket.end("\u0000garbage, no status line\r\n\r\n");
        if (faults.take("status500")) return void response.writeHead(500).end("fault");
        if (faults.take("informational")) {
            response.writeProcessing();
            response.writeEarlyHints({ link: "</style.css>; rel=preload; as=style" });
        }
        const body = JSON.stringify(value);
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "x-start-id": server.cold.getStartId(),
            "x-request-id": faults.take("crossed") ? "another-request" : context.get("x-request-id"),
        });
        if (!faults.take("shortBody")) return void response.end(body);
        response.write(body.slice(0, body.length / 2), () => response.destroy());
    };

    /** Carries out a call in its place; calls of an earlier process life change nothing. */
    const runCall = async (
        context: Context,
        server: TargetServer<PlainFault>,
        durationMs: number,
        execute: () => { readonly status: number; readonly value: unknown; },
    ): Promise<void> => {
        if (!server.cold.enter()) return void server.fallOver();
        const startId = server.cold.getStartId();
        const isCurrent = (): boolean => server.cold.getStartId() === startId;
        await acquirePlace();
        if (isCurrent() && durationMs > 0) await sleep(durationMs);
        if (!isCurrent()) return;
        const { status, value } = execute();
        releasePlace();
        server.cold.leave(startId, true);
        sendAnswer(context, server, status, value);
    };

    const answerOrder = async (context: Context, server: TargetServer<PlainFault>): Promise<void> => {
        if (server.faults.take("closeBeforeReading")) return void takeResponse(context).destroy();
        const body = await readJson(context.req, bodyLimitBytes);
        if (server.faults.take("notRun"))
            return void takeResponse(context).writeHead(503, { "x-not-run": "true" }).end();
        const orderId = String(body["orderId"] ?? "");
        await runCall(context, server, opts.executeMs ?? 20, () => {
            const count = (executions.get(orderId) ?? 0) + 1;
            executions.set(orderId, count);
            return { status: 201, value: { orderId, execution: count } };
        });
    };

    const answerLookup = (context: Context, server: TargetServer<PlainFault>): Promise<void> =>
        runCall(context, server, opts.lookupMs ?? 5, () => {
            lookups += 1;
            return { status: 200, value: { item: context.path.split("/").slice(2).join("/"), available: lookups % 7 } };
        });

    const readExecutions = () => Object.fromEntries(executions);
    const server = createTargetServer<PlainFault>({
        countRunning: () => running,
        countQueued: () => waiting.length,
        clearWork: () => {
            running = 0;
            for (const resume of waiting.splice(0)) resume();
        },
        readStats: () => ({ lookups, orders: executions.size }),
        addRoutes: (router, target) => {
            for (const path of executingPaths) router.post(path, context => answerOrder(context, target));
            for (const path of lookupPaths) router.get(`${path}/*path`, context => answerLookup(context, target));
            router.get("/control/executions", context => {
                context.body = readExecutions();
            });
        },
    }, opts);
    return { ...server, readExecutions };
}
