/** Stand-in for a model engine with continuous batching, warm-up, resumable streams and fault injection. */
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
import { createTargetServer, useRawResponse } from "./createTargetServer.js";
import type { TargetServer, TargetServerOptions } from "./createTargetServer.js";
import { readJson } from "./readBody.js";

/** Faults of the model stand-in: a value below 1 is a probability, any other a number of requests. */
export type ModelFault =
    /** Responds with bytes that are not an HTTP message. */
    | "garbage"
    /** Responds 200 with a body that is neither JSON nor server-sent events. */
    | "garbageBody"
    /** Closes the connection after `closeAfterChunks` chunks of a stream, or after half of a JSON body. */
    | "closeEarly"
    | "closeAfterChunks"
    | "status500"
    /** Responds 503 with `x-not-run: true`, without running the request. */
    | "notRun"
    /** Sends 102 and 103 responses before the final response. */
    | "informational"
    /** Never responds. */
    | "hang"
    /** Responds with the request id of another request. */
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
    generatedTokens: number;
    /** Infinite until the connection closes. */
    expiresAt: number;
    /** Cancels the sequence that generates the stream. */
    cancel?: () => void;
}

const maxBodyBytes = 16_777_216;
/** Time after the connection closes during which a stream can be resumed. */
const resumeWindowMs = 30_000;

export function createModelStandIn(opts: ModelStandInOptions = {}): TargetServer<ModelFault> {
    const getNow = opts.getNow ?? (() => performance.now());
    const engine = createModelEngine({
        maxBatch: opts.maxBatch ?? 16,
        tokenBaseMs: opts.tokenBaseMs ?? 10,
        tokenSlopeMs: opts.tokenSlopeMs ?? 0.5,
        prefillMsPerToken: opts.prefillMsPerToken ?? 0.05,
    }, { getNow });
    const prefixCache = createPrefixCache({ maxEntries: opts.prefixCacheEntries ?? 8 });
    const streams = new Map<string, StreamRecord>();
    const tokensByWorkspace = new Map<string, { inputTokens: number; outputTokens: number; }>();
    const totals = { cancelled: 0, resumed: 0, prefixHits: 0 };

    const getWorkspaceTokens = (user: string) => {
        const workspace = user.split("/")[0] ?? "";
        const entry = tokensByWorkspace.get(workspace) ?? { inputTokens: 0, outputTokens: 0 };
        tokensByWorkspace.set(workspace, entry);
        return entry;
    };

    const removeExpiredStreams = (now: number): void => {
        for (const [id, record] of streams) if (record.expiresAt <= now) streams.delete(id);
    };

    /** Injects the faults that precede or replace the response; returns true if the response is replaced. */
    const applyResponseFault = (context: Context, server: TargetServer<ModelFault>): boolean => {
        const { faults } = server;
        if (faults.isInjected("hang")) return true;
        if (faults.isInjected("garbage"))
            return context.req.socket.end("\u0000garbage, no status line\r\n\r\n") !== undefined;
        const response = context.res;
        if (faults.isInjected("status500")) return response.writeHead(500).end("fault") !== undefined;
        if (faults.isInjected("notRun")) return response.writeHead(503, { "x-not-run": "true" }).end() !== undefined;
        if (faults.isInjected("informational")) {
            response.writeProcessing();
            response.writeEarlyHints({ link: "</style.css>; rel=preload; as=style" });
        }
        if (!faults.isInjected("garbageBody")) return false;
        return response.writeHead(200, { "content-type": "text/html" }).end("<html>not an answer") !== undefined;
    };

    const createResponseHeaders = (context: Context, server: TargetServer<ModelFault>): Record<string, string> => ({
        "x-start-id": server.targetProcess.getStartId(),
        "x-request-id": server.faults.isInjected("crossed") ? "another-request" : context.get("x-request-id"),
    });

    /** Streams the tokens from `offset` on; the engine generates those that do not exist yet. */
    const streamCompletion = (
        context: Context,
        server: TargetServer<ModelFault>,
        id: string,
        offset: number,
    ): void => {
        const record = streams.get(id);
        if (record === undefined) return;
        const { request } = record;
        const response = useRawResponse(context);
        const headers = { "content-type": "text/event-stream", "cache-control": "no-store" };
        response.writeHead(200, { ...headers, ...createResponseHeaders(context, server) });
        response.flushHeaders();
        const closeAfterChunks = server.faults.isInjected("closeEarly")
            ? server.faults.getAmount("closeAfterChunks") ?? 1
            : Number.POSITIVE_INFINITY;
        let sentChunks = 0;
        const sendEvent = (event: string): void => {
            sentChunks += 1;
            if (sentChunks < closeAfterChunks) response.write(event);
            // Closes the connection only after the chunk is flushed: a destroyed socket discards queued data.
            else if (sentChunks === closeAfterChunks) response.write(event, () => response.destroy());
        };
        const usage = createUsage(
            request,
            runSequence(context, server, record, {
                onToken: index => sendEvent(formatTokenEvent(id, request, index)),
                onDone: () => {
                    if (request.includeUsage && offset <= request.outputTokens)
                        sendEvent(formatUsageEvent(id, request, usage));
                    if (sentChunks >= closeAfterChunks) return;
                    streams.delete(id);
                    response.end("data: [DONE]\n\n");
                },
            }),
        );
        for (let index = offset; index < record.generatedTokens; index += 1)
            sendEvent(formatTokenEvent(id, request, index));
    };

    /** Runs the sequence until it completes or the connection closes; returns the number of cached prompt tokens. */
    const runSequence = (
        context: Context,
        server: TargetServer<ModelFault>,
        record: StreamRecord,
        handlers: { readonly onToken: (index: number) => void; readonly onDone: () => void; },
    ): number => {
        const { request } = record;
        const { targetProcess } = server;
        const isResumed = record.generatedTokens > 0;
        const isCached = prefixCache.touch(request.prefix);
        const cachedTokens = isCached ? request.prefixTokens : 0;
        if (isCached) totals.prefixHits += 1;
        const workspaceTokens = getWorkspaceTokens(request.user);
        if (!isResumed) workspaceTokens.inputTokens += request.promptTokens;
        const startId = targetProcess.getStartId();
        let ended = false;
        const endRequest = (completed: boolean): void => {
            if (ended) return;
            ended = true;
            targetProcess.endRequest(startId, completed);
        };
        const cancel = engine.submit({
            prefillTokens: isResumed ? 0 : request.promptTokens - cachedTokens,
            outputTokens: request.outputTokens,
            generatedTokens: record.generatedTokens,
            onToken: index => {
                record.generatedTokens = index + 1;
                workspaceTokens.outputTokens += 1;
                handlers.onToken(index);
            },
            onDone: () => {
                endRequest(true);
                handlers.onDone();
            },
        });
        const cancelSequence = (): void => {
            if (ended) return;
            cancel();
            endRequest(false);
            totals.cancelled += 1;
        };
        record.cancel = cancelSequence;
        context.res.once("close", () => {
            // A resumed stream is owned by its new connection.
            if (record.cancel === cancelSequence) record.expiresAt = getNow() + resumeWindowMs;
            cancelSequence();
        });
        return cachedTokens;
    };

    const sendCompletion = (
        context: Context,
        server: TargetServer<ModelFault>,
        id: string,
        record: StreamRecord,
    ): void => {
        const response: ServerResponse = useRawResponse(context);
        const cachedTokens = runSequence(context, server, record, {
            onToken: () => undefined,
            onDone: () => {
                streams.delete(id);
                const body = JSON.stringify(
                    createCompletion(id, record.request, createUsage(record.request, cachedTokens)),
                );
                const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
                response.writeHead(200, { ...headers, ...createResponseHeaders(context, server) });
                if (!server.faults.isInjected("closeEarly")) return void response.end(body);
                response.write(body.slice(0, body.length / 2), () => response.destroy());
            },
        });
    };

    /** Resumes `<request id>;<number of received chunks>`; returns false if there is no such stream. */
    const resumeStream = (context: Context, server: TargetServer<ModelFault>, resumeHeader: string): boolean => {
        const [id = "", receivedChunks = ""] = resumeHeader.split(";");
        const record = streams.get(id);
        const offset = Number(receivedChunks);
        if (record === undefined || !Number.isSafeInteger(offset) || offset < 0 || offset > record.generatedTokens + 1)
            return false;
        totals.resumed += 1;
        // The close of the previous connection may not have been detected yet.
        record.cancel?.();
        record.expiresAt = Number.POSITIVE_INFINITY;
        streamCompletion(context, server, id, offset);
        return true;
    };

    const handleChatCompletion = async (context: Context, server: TargetServer<ModelFault>): Promise<void> => {
        const request = parseChatRequest(await readJson(context.req, maxBodyBytes));
        removeExpiredStreams(getNow());
        if (!server.targetProcess.startRequest()) return void server.crash();
        const startId = server.targetProcess.getStartId();
        if (applyResponseFault(context, server)) {
            context.respond = false;
            return void context.res.once("close", () => server.targetProcess.endRequest(startId, false));
        }
        const resumeHeader = context.get("x-resume");
        if (resumeHeader !== "") {
            if (resumeStream(context, server, resumeHeader)) return;
            server.targetProcess.endRequest(startId, false);
            context.status = 409;
            context.body = { error: "no stream to resume" };
            return;
        }
        const id = context.get("x-request-id") || `request-${streams.size}-${getNow()}`;
        const record: StreamRecord = { request, generatedTokens: 0, expiresAt: Number.POSITIVE_INFINITY };
        streams.set(id, record);
        if (request.streaming) streamCompletion(context, server, id, 0);
        else sendCompletion(context, server, id, record);
    };

    return createTargetServer<ModelFault>({
        countRunning: engine.countRunning,
        countQueued: engine.countQueued,
        dropRequests: () => {
            engine.clear();
            prefixCache.clear();
            streams.clear();
        },
        readStats: () => ({ ...totals, tokensByWorkspace: Object.fromEntries(tokensByWorkspace) }),
        addRoutes: (router, target) =>
            router.post("/v1/chat/completions", context => handleChatCompletion(context, target)),
    }, opts);
}
