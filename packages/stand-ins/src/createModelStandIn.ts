/** Stand-in for a model engine with continuous batching, a cold phase, resumable streams and faults. */
import type { Context } from "koa";
import type { ServerResponse } from "node:http";
import {
    createCompletion,
    createUsage,
    formatTokenEvent,
    formatUsageEvent,
    parseChatRequest,
} from "./chatCompletion.js";
import type { ChatRequest } from "./chatCompletion.js";
import { createModelEngine } from "./createModelEngine.js";
import { createPrefixCache } from "./createPrefixCache.js";
import { createTargetServer, takeResponse } from "./createTargetServer.js";
import type { TargetServer, TargetServerOptions } from "./createTargetServer.js";
import { readJson } from "./readBody.js";

/** Faults of the model stand-in: probability below 1, else a count of requests. */
export type ModelFault =
    /** Answers with bytes that are no HTTP message. */
    | "garbage"
    /** Answers 200 with text that is neither JSON nor events. */
    | "garbageBody"
    /** Breaks the connection after `closeAfterChunks` chunks. */
    | "closeEarly"
    | "closeAfterChunks"
    | "status500"
    /** Answers 503 with `x-not-run: true`, without running the request. */
    | "notRun"
    /** Sends 103 and 102 before the answer. */
    | "informational"
    /** Never answers. */
    | "hang"
    /** Answers with the request id of another request. */
    | "crossed";

export interface ModelStandInOptions extends TargetServerOptions {
    readonly maxBatch?: number;
    readonly tokenBaseMs?: number;
    readonly tokenSlopeMs?: number;
    readonly prefillMsPerToken?: number;
    readonly prefixCacheEntries?: number;
}

interface StreamRecord {
    readonly request: ChatRequest;
    finishedTokens: number;
    /** Set when the connection ends. */
    expiresAt: number;
    /** Ends the sequence that still works on the stream. */
    cancel?: () => void;
}

const bodyLimitBytes = 16_777_216;
/** Time for which the finished part of a broken stream can be resumed. */
const resumeWindowMs = 30_000;

export function createModelStandIn(opts: ModelStandInOptions = {}): TargetServer<ModelFault> {
    const clock = opts.clock ?? (() => performance.now());
    const engine = createModelEngine({
        maxBatch: opts.maxBatch ?? 16,
        tokenBaseMs: opts.tokenBaseMs ?? 10,
        tokenSlopeMs: opts.tokenSlopeMs ?? 0.5,
        prefillMsPerToken: opts.prefillMsPerToken ?? 0.05,
    }, { clock });
    const prefixes = createPrefixCache({ entries: opts.prefixCacheEntries ?? 8 });
    const streams = new Map<string, StreamRecord>();
    const served = new Map<string, { inputTokens: number; outputTokens: number; }>();
    const totals = { cancelled: 0, resumed: 0, prefixHits: 0 };

    const getServed = (user: string) => {
        const workspace = user.split("/")[0] ?? "";
        const entry = served.get(workspace) ?? { inputTokens: 0, outputTokens: 0 };
        served.set(workspace, entry);
        return entry;
    };

    const forgetExpired = (now: number): void => {
        for (const [id, record] of streams) if (record.expiresAt <= now) streams.delete(id);
    };

    /** Applies the faults that replace the whole answer; true when the request is dealt with. */
    const applyFault = (context: Context, server: TargetServer<ModelFault>): boolean => {
        const { faults } = server;
        if (faults.take("hang")) return true;
        if (faults.take("garbage"))
            return context.req.socket.end("\u0000garbage, no status line\r\n\r\n") !== undefined;
        const response = context.res;
        if (faults.take("status500")) return response.writeHead(500).end("fault") !== undefined;
        if (faults.take("notRun")) return response.writeHead(503, { "x-not-run": "true" }).end() !== undefined;
        if (faults.take("informational")) {
            response.writeProcessing();
            response.writeEarlyHints({ link: "</style.css>; rel=preload; as=style" });
        }
        if (!faults.take("garbageBody")) return false;
        return response.writeHead(200, { "content-type": "text/html" }).end("<html>not an answer") !== undefined;
    };

    const getAnswerHeaders = (context: Context, server: TargetServer<ModelFault>): Record<string, string> => ({
        "x-start-id": server.cold.getStartId(),
        "x-request-id": server.faults.take("crossed") ? "another-request" : context.get("x-request-id"),
    });

    /** Streams tokens from `from` on; the engine produces those that are not finished yet. */
    const streamAnswer = (context: Context, server: TargetServer<ModelFault>, id: string, from: number): void => {
        const record = streams.get(id);
        if (record === undefined) return;
        const { request } = record;
        const response = takeResponse(context);
        const headers = { "content-type": "text/event-stream", "cache-control": "no-store" };
        response.writeHead(200, { ...headers, ...getAnswerHeaders(context, server) });
        response.flushHeaders();
        const closeAfter = server.faults.take("closeEarly")
            ? server.faults.getAmount("closeAfterChunks") ?? 1
            : Number.POSITIVE_INFINITY;
        let sentChunks = 0;
        const sendEvent = (event: string): void => {
            sentChunks += 1;
            if (sentChunks < closeAfter) response.write(event);
            // Breaks the connection once the chunk has left; a destroyed socket drops what it has queued.
            else if (sentChunks === closeAfter) response.write(event, () => response.destroy());
        };
        const usage = createUsage(
            request,
            runSequence(context, server, record, {
                onToken: index => sendEvent(formatTokenEvent(id, request, index)),
                onDone: () => {
                    if (request.includeUsage && from <= request.outputTokens)
                        sendEvent(formatUsageEvent(id, request, usage));
                    if (sentChunks >= closeAfter) return;
                    streams.delete(id);
                    response.end("data: [DONE]\n\n");
                },
            }),
        );
        for (let index = from; index < record.finishedTokens; index += 1)
            sendEvent(formatTokenEvent(id, request, index));
    };

    /** Runs the sequence until done or until the connection closes; returns the cached prompt tokens. */
    const runSequence = (
        context: Context,
        server: TargetServer<ModelFault>,
        record: StreamRecord,
        handlers: { readonly onToken: (index: number) => void; readonly onDone: () => void; },
    ): number => {
        const { request } = record;
        const { cold } = server;
        const isResumed = record.finishedTokens > 0;
        const isCached = prefixes.touch(request.prefix);
        const cachedTokens = isCached ? request.prefixTokens : 0;
        if (isCached) totals.prefixHits += 1;
        const tokens = getServed(request.user);
        if (!isResumed) tokens.inputTokens += request.promptTokens;
        const startId = cold.getStartId();
        let ended = false;
        const end = (completed: boolean): void => {
            if (ended) return;
            ended = true;
            cold.leave(startId, completed);
        };
        const cancel = engine.submit({
            prefillTokens: isResumed ? 0 : request.promptTokens - cachedTokens,
            outputTokens: request.outputTokens,
            finishedTokens: record.finishedTokens,
            onToken: index => {
                record.finishedTokens = index + 1;
                tokens.outputTokens += 1;
                handlers.onToken(index);
            },
            onDone: () => {
                end(true);
                handlers.onDone();
            },
        });
        const cancelSequence = (): void => {
            if (ended) return;
            cancel();
            end(false);
            totals.cancelled += 1;
        };
        record.cancel = cancelSequence;
        context.res.once("close", () => {
            // A resumed stream belongs to its new connection.
            if (record.cancel === cancelSequence) record.expiresAt = clock() + resumeWindowMs;
            cancelSequence();
        });
        return cachedTokens;
    };

    const answerJson = (context: Context, server: TargetServer<ModelFault>, id: string, record: StreamRecord): void => {
        const response: ServerResponse = takeResponse(context);
        const cachedTokens = runSequence(context, server, record, {
            onToken: () => undefined,
            onDone: () => {
                streams.delete(id);
                const body = JSON.stringify(
                    createCompletion(id, record.request, createUsage(record.request, cachedTokens)),
                );
                const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
                response.writeHead(200, { ...headers, ...getAnswerHeaders(context, server) });
                if (!server.faults.take("closeEarly")) return void response.end(body);
                response.write(body.slice(0, body.length / 2), () => response.destroy());
            },
        });
    };

    /** Resumes `<request id>;<chunks already received>`; false when there is no such stream. */
    const resumeStream = (context: Context, server: TargetServer<ModelFault>, wanted: string): boolean => {
        const [id = "", received = ""] = wanted.split(";");
        const record = streams.get(id);
        const from = Number(received);
        if (record === undefined || !Number.isSafeInteger(from) || from < 0 || from > record.finishedTokens + 1)
            return false;
        totals.resumed += 1;
        // The break of the first connection may not have been noticed yet.
        record.cancel?.();
        record.expiresAt = Number.POSITIVE_INFINITY;
        streamAnswer(context, server, id, from);
        return true;
    };

    const answerChat = async (context: Context, server: TargetServer<ModelFault>): Promise<void> => {
        const request = parseChatRequest(await readJson(context.req, bodyLimitBytes));
        forgetExpired(clock());
        if (!server.cold.enter()) return void server.fallOver();
        const startId = server.cold.getStartId();
        if (applyFault(context, server)) {
            context.respond = false;
            return void context.res.once("close", () => server.cold.leave(startId, false));
        }
        const resume = context.get("x-resume");
        if (resume !== "") {
            if (resumeStream(context, server, resume)) return;
            server.cold.leave(startId, false);
            context.status = 409;
            context.body = { error: "nothing to resume" };
            return;
        }
        const id = context.get("x-request-id") || `request-${streams.size}-${clock()}`;
        const record: StreamRecord = { request, finishedTokens: 0, expiresAt: Number.POSITIVE_INFINITY };
        streams.set(id, record);
        if (request.streaming) streamAnswer(context, server, id, 0);
        else answerJson(context, server, id, record);
    };

    return createTargetServer<ModelFault>({
        countRunning: engine.countRunning,
        countQueued: engine.countQueued,
        clearWork: () => {
            engine.clear();
            prefixes.clear();
            streams.clear();
        },
        readStats: () => ({ ...totals, tokensByWorkspace: Object.fromEntries(served) }),
        addRoutes: (router, target) => router.post("/v1/chat/completions", context => answerChat(context, target)),
    }, opts);
}
