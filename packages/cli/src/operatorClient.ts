/** Client of the operators' HTTP API. Tries the given routers in turn, but never sends a write twice. */
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import { request } from "undici";
import { CliError, createUnknownError, exitCodes, readErrorAnswer } from "./cliError.js";
import type { RouterStatus } from "./routerStatus.js";

export interface ResourceListAnswer {
    readonly revision: number;
    readonly resources: readonly Resource[];
}

export interface OperatorClient {
    readonly readResource: (kind: ResourceKind, name: string) => Promise<Resource | undefined>;
    readonly listResources: (kind: ResourceKind) => Promise<ResourceListAnswer>;
    /** `version` undefined creates. */
    readonly writeResource: (
        kind: ResourceKind,
        name: string,
        spec: unknown,
        version: number | undefined,
    ) => Promise<Resource>;
    readonly deleteResource: (kind: ResourceKind, name: string, version: number) => Promise<void>;
    readonly readStatus: () => Promise<RouterStatus>;
    /** Status of each router that answers, in the order of the routers. */
    readonly readAllStatuses: () => Promise<readonly RouterStatus[]>;
    /** Lines of one watch, until the connection ends. */
    readonly watchResources: (kind: ResourceKind, revision: number) => Promise<AsyncIterable<string>>;
}

/** Most routers answer within milliseconds; a write may wait for the platform's store. */
const timeouts = { headersTimeout: 15_000, bodyTimeout: 15_000 };

/** Failures that happen before a connection exists, so nothing was sent. */
const notSentCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT",
]);

interface Ask {
    readonly method?: "GET" | "PUT" | "DELETE";
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Statuses other than 2xx that the caller handles. */
    readonly accepted?: readonly number[];
    readonly bodyTimeout?: number;
}

export function createOperatorClient(opts: {
    readonly routers: readonly string[];
    readonly token: string;
    readonly signal: AbortSignal;
}): OperatorClient {
    const askRouter = async (router: string, path: string, ask: Ask) => {
        const isWrite = (ask.method ?? "GET") !== "GET";
        const headers = { authorization: `Bearer ${opts.token}`, "content-type": "application/json", ...ask.headers };
        const { method = "GET", body, bodyTimeout } = ask;
        const { signal } = opts;
        try {
            const answer = await request(`${router}/api/v1/${path}`, {
                method,
                headers,
                signal,
                ...timeouts,
                ...(body === undefined ? {} : { body }),
                ...(bodyTimeout === undefined ? {} : { bodyTimeout }),
            });
            const { statusCode } = answer;
            if (statusCode < 300 || ask.accepted?.includes(statusCode)) return answer;
            throw readErrorAnswer(statusCode, await answer.body.text(), isWrite);
        }
        catch (error) {
            throw error instanceof CliError ? error : describeFailure(error, router, isWrite);
        }
    };

    /** Goes on to the next router only when the call was provably not run. */
    const askAny = async (path: string, ask: Ask = {}) => {
        let lastError: unknown;
        for (const router of opts.routers) {
            try {
                return await askRouter(router, path, ask);
            }
            catch (error) {
                lastError = error;
                if (!(error instanceof CliError && error.exitCode === exitCodes.notRun)) throw error;
            }
        }
        throw lastError;
    };

    const readJson = async <T>(path: string, ask: Ask = {}): Promise<T> => {
        const isWrite = (ask.method ?? "GET") !== "GET";
        const { body } = await askAny(path, ask);
        try {
            return await body.json() as T;
        }
        catch (error) {
            throw describeFailure(error, "the router", isWrite);
        }
    };

    const formatPath = (kind: ResourceKind, name: string) => `${kind}/${encodeURIComponent(name)}`;

    return {
        readResource: async (kind, name) => {
            const { statusCode, body } = await askAny(formatPath(kind, name), { accepted: [404] });
            if (statusCode !== 404) return await body.json() as Resource;
            await body.dump();
            return undefined;
        },
        listResources: kind => readJson(kind),
        writeResource: (kind, name, spec, version) => {
            const headers: Record<string, string> = version === undefined
                ? { "if-none-match": "*" }
                : { "if-match": String(version) };
            return readJson(formatPath(kind, name), { method: "PUT", headers, body: JSON.stringify({ spec }) });
        },
        deleteResource: async (kind, name, version) => {
            const { body } = await askAny(formatPath(kind, name), {
                method: "DELETE",
                headers: { "if-match": String(version) },
            });
            await body.dump();
        },
        readStatus: () => readJson("status"),
        readAllStatuses: async () => {
            const read = async (router: string) =>
                await (await askRouter(router, "status", {})).body.json() as RouterStatus;
            const results = await Promise.allSettled(opts.routers.map(read));
            const statuses = results.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
            const failed = results.find(result => result.status === "rejected");
            if (statuses.length === 0 && failed !== undefined) throw failed.reason;
            return statuses;
        },
        watchResources: async (kind, revision) => {
            const path = `${kind}?watch=true&revision=${revision}`;
            // A watch is silent for as long as nothing changes.
            const { body } = await askAny(path, { bodyTimeout: 0 });
            return splitLines(body);
        },
    };
}

function describeFailure(error: unknown, router: string, isWrite: boolean): Error {
    const { name, code = "", message } = error as NodeJS.ErrnoException;
    if (name === "AbortError") return error as Error;
    if (notSentCodes.has(code) || !isWrite) {
        return new CliError(
            exitCodes.notRun,
            "ROUTER_UNREACHABLE",
            `The router at ${router} did not answer (${code || message}).`,
            "Check the URL, or name further routers in --router or RHUBARBWHEEL_ROUTER.",
        );
    }
    return createUnknownError(`The connection to ${router} broke (${code || message}).`);
}

async function* splitLines(body: AsyncIterable<Buffer>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of body) {
        const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        for (const line of lines) if (line.trim() !== "") yield line;
    }
}
