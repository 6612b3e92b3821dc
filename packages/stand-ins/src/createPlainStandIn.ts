/** Stand-in for a plain service that records every execution, so that tests can verify at-most-once execution. */
import type { Context } from "koa";
import { setTimeout as sleep } from "node:timers/promises";
import { createTargetServer, useRawResponse } from "./createTargetServer.js";
import type { TargetServer, TargetServerOptions } from "./createTargetServer.js";
import { readJson } from "./readBody.js";

/** Faults of the plain stand-in: a value below 1 is a probability, any other a number of requests. */
export type PlainFault =
    /** Executes the request, then closes the connection without a response. */
    | "dropAnswer"
    /** Closes the connection before reading the body, without executing the request. */
    | "closeBeforeReading"
    /** Executes the request, then responds 500. */
    | "status500"
    /** Responds 503 with `x-not-run: true`, without executing the request. */
    | "notRun"
    /** Executes the request, then responds with bytes that are not an HTTP message. */
    | "garbage"
    /** Executes the request, then closes the connection after half of the response body. */
    | "shortBody"
    /** Executes the request and never responds. */
    | "hang"
    /** Sends 102 and 103 responses before the final response. */
    | "informational"
    /** Responds with the request id of another request. */
    | "crossed";

export interface PlainStandInOptions extends TargetServerOptions {
    readonly executeMs?: number;
    readonly lookupMs?: number;
    /** Maximum number of requests executed concurrently; further ones are queued in order of arrival. */
    readonly maxParallel?: number;
}

export interface PlainStandIn extends TargetServer<PlainFault> {
    /** Number of executions by order id. */
    readonly readExecutions: () => Readonly<Record<string, number>>;
}

const maxBodyBytes = 1_048_576;
/** Paths whose requests are recorded by the `orderId` of their body. */
const recordedPaths = ["/orders", "/invoices", "/bookings", "/charges"];
const lookupPaths = ["/stock", "/availability"];

export function createPlainStandIn(opts: PlainStandInOptions = {}): PlainStandIn {
    const executions = new Map<string, number>();
    const queuedRequests: (() => void)[] = [];
    const maxParallel = opts.maxParallel ?? 16;
    let running = 0;
    let lookups = 0;

    const acquireSlot = async (): Promise<void> => {
        if (running >= maxParallel) await new Promise<void>(resolve => queuedRequests.push(resolve));
        else running += 1;
    };

    /** Passes the slot to the next queued request. */
    const releaseSlot = (): void => {
        const startNext = queuedRequests.shift();
        if (startNext === undefined) running -= 1;
        else startNext();
    };

    const sendResponse = (context: Context, server: TargetServer<PlainFault>, status: number, value: unknown): void => {
        const { faults } = server;
        const response = useRawResponse(context);
        if (faults.isInjected("dropAnswer")) return void response.destroy();
        if (faults.isInjected("hang")) return;
        if (faults.isInjected("garbage")) return void context.req.socket.end("\u0000garbage, no status line\r\n\r\n");
        if (faults.isInjected("status500")) return void response.writeHead(500).end("fault");
        if (faults.isInjected("informational")) {
            response.writeProcessing();
            response.writeEarlyHints({ link: "</style.css>; rel=preload; as=style" });
        }
        const body = JSON.stringify(value);
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "x-start-id": server.targetProcess.getStartId(),
            "x-request-id": faults.isInjected("crossed") ? "another-request" : context.get("x-request-id"),
        });
        if (!faults.isInjected("shortBody")) return void response.end(body);
        response.write(body.slice(0, body.length / 2), () => response.destroy());
    };

    /** Executes a request once a slot is free; requests of a process that has been replaced are not executed. */
    const runRequest = async (
        context: Context,
        server: TargetServer<PlainFault>,
        durationMs: number,
        execute: () => { readonly status: number; readonly value: unknown; },
    ): Promise<void> => {
        if (!server.targetProcess.startRequest()) return void server.crash();
        const startId = server.targetProcess.getStartId();
        const isSameProcess = (): boolean => server.targetProcess.getStartId() === startId;
        await acquireSlot();
        if (isSameProcess() && durationMs > 0) await sleep(durationMs);
        if (!isSameProcess()) return;
        const { status, value } = execute();
        releaseSlot();
        server.targetProcess.endRequest(startId, true);
        sendResponse(context, server, status, value);
    };

    const handleOrder = async (context: Context, server: TargetServer<PlainFault>): Promise<void> => {
        if (server.faults.isInjected("closeBeforeReading")) return void useRawResponse(context).destroy();
        const body = await readJson(context.req, maxBodyBytes);
        if (server.faults.isInjected("notRun"))
            return void useRawResponse(context).writeHead(503, { "x-not-run": "true" }).end();
        const orderId = String(body["orderId"] ?? "");
        await runRequest(context, server, opts.executeMs ?? 20, () => {
            const count = (executions.get(orderId) ?? 0) + 1;
            executions.set(orderId, count);
            return { status: 201, value: { orderId, execution: count } };
        });
    };

    const handleLookup = (context: Context, server: TargetServer<PlainFault>): Promise<void> =>
        runRequest(context, server, opts.lookupMs ?? 5, () => {
            lookups += 1;
            return { status: 200, value: { item: context.path.split("/").slice(2).join("/"), available: lookups % 7 } };
        });

    const readExecutions = () => Object.fromEntries(executions);
    const server = createTargetServer<PlainFault>({
        countRunning: () => running,
        countQueued: () => queuedRequests.length,
        dropRequests: () => {
            running = 0;
            for (const start of queuedRequests.splice(0)) start();
        },
        readStats: () => ({ lookups, orders: executions.size }),
        addRoutes: (router, target) => {
            for (const path of recordedPaths) router.post(path, context => handleOrder(context, target));
            for (const path of lookupPaths) router.get(`${path}/*path`, context => handleLookup(context, target));
            router.get("/control/executions", context => {
                context.body = readExecutions();
            });
        },
    }, opts);
    return { ...server, readExecutions };
}
