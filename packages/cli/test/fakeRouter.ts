/** In-memory operator API with faults that tests can inject. */
import type { Resource } from "@rhubarbwheel/types/resources";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { runCli } from "../src/runCli.js";

export type Fault = (request: IncomingMessage, response: ServerResponse) => boolean;

export interface FakeRouter {
    readonly url: string;
    readonly requests: string[];
    readonly resources: Map<string, Resource>;
    /** Returns true if it has handled the request itself. */
    fault: Fault | undefined;
    /** Responses of `GET /api/v1/status` in order; the last one is repeated. */
    statuses: object[];
    readonly close: () => Promise<unknown>;
}

export const token = "operator token";

export function sendJson(response: ServerResponse, status: number, body: object): true {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    return true;
}

export function createErrorBody(code: string, outcome?: string) {
    return { error: { code, message: `Message of ${code}.`, hint: `Hint of ${code}.`, outcome, requestId: "r" } };
}

async function readBody(request: IncomingMessage): Promise<string> {
    let body = "";
    for await (const chunk of request) body += String(chunk);
    return body;
}

function writeResource(router: FakeRouter, request: IncomingMessage, key: string, body: string): Resource | undefined {
    const current = router.resources.get(key);
    const isCurrent = request.headers["if-none-match"] === "*"
        ? current === undefined
        : request.headers["if-match"] === String(current?.version);
    if (!isCurrent) return undefined;
    const [kind = "", name = ""] = key.split("/");
    const deleted = request.method === "DELETE" ? { deleted: true } : {};
    const spec = request.method === "DELETE" ? current?.spec : (JSON.parse(body) as { spec: object; }).spec;
    const revision = 1 + Math.max(40, ...[...router.resources.values()].map(resource => resource.revision));
    const resource = { kind, name, version: (current?.version ?? 0) + 1, revision, spec, ...deleted } as Resource;
    router.resources.set(key, resource);
    return resource;
}

async function handleRequest(router: FakeRouter, request: IncomingMessage, response: ServerResponse): Promise<unknown> {
    router.requests.push(`${request.method} ${request.url}`);
    if (router.fault?.(request, response)) return;
    if (request.headers.authorization !== `Bearer ${token}`)
        return sendJson(response, 401, createErrorBody("OPERATOR_CREDENTIAL_INVALID"));
    const url = new URL(request.url ?? "", "http://router");
    const key = decodeURIComponent(url.pathname.replace("/api/v1/", ""));
    const resources = [...router.resources.values()].filter(resource => resource.kind === key);
    if (key === "status") {
        return sendJson(
            response,
            200,
            (router.statuses.length > 1 ? router.statuses.shift() : router.statuses[0]) ?? {},
        );
    }
    if (url.searchParams.has("watch")) return response.end(resources.map(item => `${JSON.stringify(item)}\n`).join(""));
    if (!key.includes("/")) return sendJson(response, 200, { revision: 40, resources });
    if (request.method !== "GET") {
        const written = writeResource(router, request, key, await readBody(request));
        return written === undefined
            ? sendJson(response, 409, createErrorBody("VERSION_CONFLICT", "notRun"))
            : sendJson(response, 200, written);
    }
    const resource = router.resources.get(key);
    return resource === undefined
        ? sendJson(response, 404, createErrorBody("RESOURCE_NOT_FOUND"))
        : sendJson(response, 200, resource);
}

export async function startFakeRouter(): Promise<FakeRouter> {
    const server = createServer((request, response) => void handleRequest(router, request, response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const router: FakeRouter = {
        url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        requests: [],
        resources: new Map(),
        fault: undefined,
        statuses: [],
        close: () => {
            server.closeAllConnections();
            return new Promise(resolve => server.close(resolve));
        },
    };
    return router;
}

export interface CliRunResult {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

/** Runs the command line tool in this process. `onWait` replaces each delay. */
export async function runTestCli(
    argv: string,
    opts: {
        routers?: string;
        files?: Record<string, string | Uint8Array>;
        token?: string;
        onWait?: () => void;
        signal?: AbortSignal;
    },
): Promise<CliRunResult> {
    let [output, errors] = ["", ""];
    const environment = { RHUBARBWHEEL_ROUTER: opts.routers, RHUBARBWHEEL_OPERATOR_TOKEN: opts.token ?? token };
    const readBytes = (path: string): Buffer => {
        const content = opts.files?.[path];
        if (content === undefined) throw Object.assign(new Error(`no such file: ${path}`), { code: "ENOENT" });
        return Buffer.from(content);
    };
    const exitCode = await runCli(argv.split(" ").filter(part => part !== ""), environment, {
        writeOutput: text => (output += text),
        writeError: text => (errors += text),
        readFile: path => readBytes(path).toString("utf8"),
        readBytes,
        wait: () => Promise.resolve(opts.onWait?.()),
        signal: opts.signal ?? new AbortController().signal,
    });
    return { exitCode, output, errors };
}
