/** Client of the operator HTTP API. Tries the configured routers in turn, but never sends a write twice. */
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import { request } from "undici";
import { CliError, createUnknownOutcomeError, exitCodes, parseErrorResponse } from "./cliError.js";
import type { RouterStatus } from "./routerStatus.js";

export interface ResourceListResponse {
    readonly revision: number;
    readonly resources: readonly Resource[];
}

export interface OperatorClient {
    readonly readResource: (kind: ResourceKind, name: string) => Promise<Resource | undefined>;
    readonly listResources: (kind: ResourceKind) => Promise<ResourceListResponse>;
    /** Creates the resource if `version` is undefined. */
    readonly writeResource: (
        kind: ResourceKind,
        name: string,
        spec: unknown,
        version: number | undefined,
    ) => Promise<Resource>;
    readonly deleteResource: (kind: ResourceKind, name: string, version: number) => Promise<void>;
    readonly readStatus: () => Promise<RouterStatus>;
    /** Status of each router that responds, in the order of the routers. */
    readonly readAllStatuses: () => Promise<readonly RouterStatus[]>;
    /** Lines of one watch until the connection closes. */
    readonly watchResources: (kind: ResourceKind, revision: number) => Promise<AsyncIterable<string>>;
}

/** Most responses take milliseconds, but a write may wait for the platform's store. */
const timeouts = { headersTimeout: 15_000, bodyTimeout: 15_000 };

/** Errors that occur before a connection is established, so nothing was sent. */
const notSentCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT",
]);

interface RequestOptions {
    readonly method?: "GET" | "PUT" | "DELETE";
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Status codes other than 2xx that the caller handles. */
    readonly accepted?: readonly number[];
    readonly bodyTimeout?: number;
}

export function createOperatorClient(opts: {
    readonly routers: readonly string[];
    readonly token: string;
    readonly signal: AbortSignal;
}): OperatorClient {
    const sendRequest = async (router: string, path: string, requestOptions: RequestOptions) => {
        const isWrite = (requestOptions.method ?? "GET") !== "GET";
        const headers = {
            authorization: `Bearer ${opts.token}`,
            "content-type": "application/json",
            ...requestOptions.headers,
        };
        const { method = "GET", body, bodyTimeout } = requestOptions;
        const { signal } = opts;
        try {
            const response = await request(`${router}/api/v1/${path}`, {
                method,
                headers,
                signal,
                ...timeouts,
                ...(body === undefined ? {} : { body }),
                ...(bodyTimeout === undefined ? {} : { bodyTimeout }),
            });
            const { statusCode } = response;
            if (statusCode < 300 || requestOptions.accepted?.includes(statusCode)) return response;
            throw parseErrorResponse(statusCode, await response.body.text(), isWrite);
        }
        catch (error) {
            throw error instanceof CliError ? error : convertRequestError(error, router, isWrite);
        }
    };

    /** Tries the next router only if the request was provably not run. */
    const sendToAnyRouter = async (path: string, requestOptions: RequestOptions = {}) => {
        let lastError: unknown;
        for (const router of opts.routers) {
            try {
                return await sendRequest(router, path, requestOptions);
            }
            catch (error) {
                lastError = error;
                if (!(error instanceof CliError && error.exitCode === exitCodes.notRun)) throw error;
            }
        }
        throw lastError;
    };

    const readJson = async <T>(path: string, requestOptions: RequestOptions = {}): Promise<T> => {
        const isWrite = (requestOptions.method ?? "GET") !== "GET";
        const { body } = await sendToAnyRouter(path, requestOptions);
        try {
            return await body.json() as T;
        }
        catch (error) {
            throw convertRequestError(error, "the router", isWrite);
        }
    };

    const formatPath = (kind: ResourceKind, name: string) => `${kind}/${encodeURIComponent(name)}`;

    return {
        readResource: async (kind, name) => {
            const { statusCode, body } = await sendToAnyRouter(formatPath(kind, name), { accepted: [404] });
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
            const { body } = await sendToAnyRouter(formatPath(kind, name), {
                method: "DELETE",
                headers: { "if-match": String(version) },
            });
            await body.dump();
        },
        readStatus: () => readJson("status"),
        readAllStatuses: async () => {
            const read = async (router: string) =>
                await (await sendRequest(router, "status", {})).body.json() as RouterStatus;
            const results = await Promise.allSettled(opts.routers.map(read));
            const statuses = results.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
            const failed = results.find(result => result.status === "rejected");
            if (statuses.length === 0 && failed !== undefined) throw failed.reason;
            return statuses;
        },
        watchResources: async (kind, revision) => {
            const path = `${kind}?watch=true&revision=${revision}`;
            // A watch sends nothing while nothing changes, so it has no body timeout.
            const { body } = await sendToAnyRouter(path, { bodyTimeout: 0 });
            return splitLines(body);
        },
    };
}

function convertRequestError(error: unknown, router: string, isWrite: boolean): Error {
    const { name, code = "", message } = error as NodeJS.ErrnoException;
    if (name === "AbortError") return error as Error;
    if (notSentCodes.has(code) || !isWrite) {
        return new CliError(
            exitCodes.notRun,
            "ROUTER_UNREACHABLE",
            `No valid response from ${router} (${code || message}).`,
            "Check the URL, or add more routers to --router or RHUBARBWHEEL_ROUTER.",
        );
    }
    return createUnknownOutcomeError(`The connection to ${router} was lost (${code || message}).`);
}

async function* splitLines(body: AsyncIterable<Buffer>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let remainder = "";
    for await (const chunk of body) {
        const lines = (remainder + decoder.decode(chunk, { stream: true })).split("\n");
        remainder = lines.pop() ?? "";
        for (const line of lines) if (line.trim() !== "") yield line;
    }
}
