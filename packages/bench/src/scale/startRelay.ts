/** A streaming target, the data path of a router in front of it, and a caller, all on loopback. */
import { createHttpServer } from "@rhubarbwheel/http-server/createHttpServer";
import { createTargetClient } from "@rhubarbwheel/target-client/createTargetClient";
import type { Call } from "@rhubarbwheel/types/ports";
import type { Resource, ResourceKind, ResourceOf } from "@rhubarbwheel/types/resources";
import { createHash } from "node:crypto";
import { Agent, createServer, request } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import results from "ts-results";

export interface Relay {
    /** Ports at which a caller reaches the target directly and through the router. */
    readonly ports: { readonly direct: number; readonly relayed: number; };
    /** Opens a stream and waits for its first data; appends the target's response object to `streams`. */
    readonly openStream: (port: number, onData: (bytes: number) => void) => Promise<void>;
    /** Runs one short request to completion. */
    readonly runRequest: (port: number) => Promise<void>;
    /** Polls the load of the target as a coordinator does. */
    readonly pollLoad: () => Promise<unknown>;
    readonly streams: ServerResponse[];
    readonly close: () => Promise<void>;
}

const token = "caller-token";
const model = "assistant";
const path = "/v1/chat/completions";
const shortResponse = JSON.stringify({ choices: [], usage: { prompt_tokens: 10, completion_tokens: 20 } });

const loadReport = JSON.stringify({ startId: "start-1", running: 8, queued: 0, sampledAgeMs: 12 });

const service: ResourceOf<"services"> = {
    kind: "services",
    name: model,
    version: 1,
    revision: 1,
    spec: { kind: "model", targets: [], targetLimit: 1, coldLimit: 1, models: [model] },
};
const workspace: ResourceOf<"workspaces"> = {
    kind: "workspaces",
    name: "workspace",
    version: 1,
    revision: 2,
    spec: { share: 1, credentialHashes: [createHash("sha256").update(token).digest("hex")] },
};
const resources: readonly Resource[] = [service, workspace];

/** Server-sent event as a model engine sends it, with the size of a typical token. */
export function createEvent(content: string): string {
    return `data: ${JSON.stringify({ id: "chatcmpl-0123456789", choices: [{ index: 0, delta: { content } }] })}\n\n`;
}

function createBody(stream: boolean): string {
    return JSON.stringify({ model, stream, messages: [{ role: "user", content: "Describe the damage." }] });
}

function startTarget(streams: ServerResponse[]) {
    return createServer((req, res) => {
        if (req.url === "/load") {
            res.end(loadReport);
            return;
        }
        const requestId = req.headers["x-request-id"];
        let body = "";
        req.on("data", (chunk: Buffer) => (body += chunk.toString()));
        req.on("end", () => {
            const id = requestId === undefined ? {} : { "x-request-id": requestId };
            if (body === createBody(false)) {
                const length = { "content-length": String(shortResponse.length) };
                res.writeHead(200, { ...id, ...length, "content-type": "application/json" });
                res.end(shortResponse);
                return;
            }
            res.writeHead(200, { ...id, "content-type": "text/event-stream" });
            res.write(createEvent("first"));
            streams.push(res);
        });
    });
}

/** The data path of a router without the reducer, whose cost is measured separately. */
function createRouterServer(targetPort: number) {
    const targetClient = createTargetClient({ getNow: () => performance.now() });
    let requestCount = 0;
    const submitCall = (call: Call) => {
        targetClient.startAttempt(call, {
            attempt: 1,
            address: `http://127.0.0.1:${targetPort}`,
            answerTimeoutMs: 10_000,
            costPerCall: 1,
            resume: false,
            observer: {
                onAccepted: () => undefined,
                onProgress: () => undefined,
                onEnded: end => {
                    if (end.result === "complete") call.responder.finish();
                    else call.responder.fail({ code: "TARGET_BROKEN", outcome: "unknown" });
                },
            },
        });
    };
    const rejectStoreRequest = () => Promise.reject(new Error("the benchmark has no platform"));
    const server = createHttpServer({
        configuration: {
            listResources: <K extends ResourceKind>(kind: K) =>
                resources.filter(resource => resource.kind === kind) as unknown as readonly ResourceOf<K>[],
            getRevision: () => 2,
            getFreshness: () => "fresh",
            getWorkspace: () => workspace.spec,
            getService: () => ({ name: model, version: 1, spec: service.spec }),
            listServices: () => [{ name: model, version: 1, spec: service.spec }],
        },
        submitCall,
        cancelCall: () => undefined,
        mintKey: () => "key",
        createId: () => `request-${++requestCount}`,
        writeResource: rejectStoreRequest,
        readResource: rejectStoreRequest,
        listConfiguration: rejectStoreRequest,
        watchResources: () => () => undefined,
        getStatus: () => ({}),
        getReadiness: () => ({ ready: true, reason: "" }),
        operatorToken: "operator-token",
        limits: {
            maxBodyBytes: 1_000_000,
            maxHeaderBytes: 16_384,
            maxOpenCalls: 1_000,
            maxOpenCallsPerWorkspace: 1_000,
            maxConnections: 1_000,
            slowReaderTimeoutMs: 10_000,
            maxBufferedBytes: 1_000_000,
        },
        validateResource: () => results.Err([]),
    });
    return { server, targetClient };
}

export async function startRelay(): Promise<Relay> {
    const streams: ServerResponse[] = [];
    const target = startTarget(streams);
    await new Promise<void>(resolve => target.listen(0, "127.0.0.1", resolve));
    const direct = (target.address() as AddressInfo).port;
    const { server, targetClient } = createRouterServer(direct);
    const { port: relayed } = await server.listen("127.0.0.1", 0);
    const agent = new Agent({ keepAlive: true });

    const send = (port: number, stream: boolean) =>
        new Promise<IncomingMessage>((resolve, reject) => {
            const headers = { authorization: `Bearer ${token}`, "content-type": "application/json" };
            const call = request({ host: "127.0.0.1", port, path, method: "POST", headers, agent }, res => {
                if (res.statusCode === 200) resolve(res);
                else reject(new Error(`expected status 200, got ${res.statusCode}`));
            });
            call.on("error", reject);
            call.end(createBody(stream));
        });

    return {
        ports: { direct, relayed },
        streams,
        pollLoad: () => targetClient.pollLoad("target", `http://127.0.0.1:${direct}`),
        openStream: async (port, onData) => {
            const res = await send(port, true);
            await new Promise<void>(resolve => {
                res.once("data", () => resolve());
                res.on("data", (chunk: Buffer) => onData(chunk.length));
            });
        },
        runRequest: async port => {
            const res = await send(port, false);
            for await (const chunk of res) void chunk;
        },
        close: async () => {
            for (const stream of streams) stream.end("data: [DONE]\n\n");
            agent.destroy();
            await targetClient.close();
            await server.close();
            target.closeAllConnections();
            await new Promise<void>(resolve => target.close(() => resolve()));
        },
    };
}
