/** Starts the HTTP server with fake dependencies on a free port, and sends requests to it. */
import type { Call, ResourceWrite } from "@rhubarbwheel/types/ports";
import type { Resource, ResourceKind, ResourceOf } from "@rhubarbwheel/types/resources";
import { createHash } from "node:crypto";
import type { RequestOptions } from "node:http";
import { request } from "node:http";
import { connect } from "node:net";
import { createHttpServer } from "../src/createHttpServer.js";
import type { HttpServerOptions } from "../src/httpServerOptions.js";

const hashToken = (token: string): string => createHash("sha256").update(token).digest("hex");

function createResource<K extends ResourceKind>(kind: K, name: string, spec: ResourceOf<K>["spec"]): ResourceOf<K> {
    return { kind, name, version: 3, revision: 7, spec };
}

const targetFields = {
    targets: [{ name: "t1", address: "http://127.0.0.1:1", failureDomain: "a" }],
    targetLimit: 1,
    coldLimit: 1,
};
const idempotentRoutes = [{ method: "GET", pathPrefix: "/stock" }];
const resources = [
    createResource("workspaces", "oryx", { share: 1, credentialHashes: [hashToken("oryx-token")] }),
    createResource("workspaces", "kudu", { share: 1, credentialHashes: [hashToken("kudu-token")] }),
    createResource("services", "desk", { ...targetFields, kind: "plain", costPerCall: 5, idempotentRoutes }),
    createResource("services", "assistant", { ...targetFields, kind: "model", models: ["small"] }),
] as readonly Resource[];

export interface ReceivedResponse {
    readonly status: number;
    readonly headers: Record<string, string | undefined>;
    readonly body: string;
    /** Whether the connection broke before the response was complete. */
    readonly broken: boolean;
}

export const callerHeaders = { authorization: "Bearer oryx-token" };
export const operatorHeaders = { authorization: "Bearer operator-secret" };
export const createChatBody = (fields: object = {}): string =>
    JSON.stringify({ model: "small", messages: [{ role: "user", content: "hello" }], ...fields });

type Overrides = Partial<Omit<HttpServerOptions, "limits">> & {
    readonly limits?: Partial<HttpServerOptions["limits"]>;
};

export async function startTestServer(overrides: Overrides = {}) {
    const calls: Call[] = [];
    const cancelled: string[] = [];
    const writes: ResourceWrite[] = [];
    const watchers = new Set<(resource: Resource) => void>();
    let idCount = 0;
    let keyCount = 0;
    const listResources = <K extends ResourceKind>(kind: K): ResourceOf<K>[] =>
        resources.filter(resource => resource.kind === kind) as ResourceOf<K>[];
    const server = createHttpServer({
        configuration: {
            listResources,
            getRevision: () => 7,
            getFreshness: () => "fresh",
            getWorkspace: () => undefined,
            listServices: () => listResources("services"),
            getService: name => listResources("services").find(service => service.name === name),
        },
        submitCall: call => {
            calls.push(call);
            call.responder.start(200, { "content-type": "text/plain" });
            call.responder.write(Buffer.from("done"));
            call.responder.finish();
        },
        cancelCall: id => cancelled.push(id),
        mintKey: () => `rw1.cg.1.${++keyCount}-aaaaaaaaaaaaaaaaaaaaaa`,
        createId: () => `id-${++idCount}`,
        writeResource: write => {
            writes.push(write);
            const resource = { ...write, version: write.expectedVersion + 1, revision: 8 } as unknown as Resource;
            return Promise.resolve({ type: "accepted", resource });
        },
        readResource: (kind, name) =>
            Promise.resolve({ type: "read", value: listResources(kind).find(resource => resource.name === name) }),
        listConfiguration: () => Promise.resolve({ type: "read", value: { revision: 7, resources } }),
        watchResources: (_afterRevision, onChange) => {
            watchers.add(onChange);
            return () => watchers.delete(onChange);
        },
        getStatus: () => ({ router: "r1" }),
        getReadiness: () => ({ ready: true, reason: "ready" }),
        operatorToken: "operator-secret",
        validateResource: (_kind, _name, spec) => {
            const problems = [{ field: "spec.share", problem: "is 0", remedy: "Use a number above 0." }];
            const isInvalid = (spec as { share?: number; }).share === 0;
            return { ok: !isInvalid, err: isInvalid, val: isInvalid ? problems : spec } as never;
        },
        ...overrides,
        limits: {
            maxBodyBytes: 2000,
            maxHeaderBytes: 8000,
            maxOpenCalls: 100,
            maxOpenCallsPerWorkspace: 50,
            maxConnections: 100,
            slowReaderTimeoutMs: 30_000,
            maxBufferedBytes: 16 * 1024 * 1024,
            ...overrides.limits,
        },
    });
    const { port } = await server.listen("127.0.0.1", 0);
    return {
        port,
        calls,
        cancelled,
        writes,
        emitChange: (resource: Resource) => watchers.forEach(onChange => onChange(resource)),
        send: (method: string, path: string, headers: Record<string, string> = {}, body = "") =>
            sendRequest({ port, host: "127.0.0.1", method, path, headers, agent: false }, body),
        /** Sends raw text; resolves with all data received until the connection closes. */
        sendRaw: (text: string) => sendRawText(port, text),
        close: server.close,
    };
}

function sendRequest(options: RequestOptions, body: string): Promise<ReceivedResponse> {
    return new Promise((resolve, reject) => {
        const sent = request(options, res => {
            let text = "";
            res.setEncoding("utf8").on("data", (chunk: string) => (text += chunk));
            res.on("error", () => undefined);
            const headers = res.headers as ReceivedResponse["headers"];
            res.on("close", () => resolve({ status: res.statusCode ?? 0, headers, body: text, broken: !res.complete }));
        });
        sent.on("error", reject);
        sent.end(body);
    });
}

function sendRawText(port: number, text: string): Promise<string> {
    return new Promise(resolve => {
        let received = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(text));
        socket.setEncoding("utf8").on("data", (chunk: string) => (received += chunk));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });
}

/** Resolves when the condition holds; otherwise the time limit of the test file ends the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise(resolve => setImmediate(resolve));
}
