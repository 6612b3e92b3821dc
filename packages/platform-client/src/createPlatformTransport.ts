/** Sends HTTP requests to the platform by one or more addresses of the same store. */
import { Agent } from "undici";

export interface PlatformRequest {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Added to the usual timeout, for a request that the platform holds open. */
    readonly extraTimeoutMs?: number;
}

export interface PlatformResponse {
    readonly status: number;
    /** Parsed body; `undefined` when it is empty or not JSON. */
    readonly body: unknown;
}

/** `notSent`: no byte of the request was sent. `lost`: the request may have arrived, but no response was received. */
export type RequestFailure = "notSent" | "lost";

export type RequestResult =
    | { readonly type: "responded"; readonly response: PlatformResponse; }
    | { readonly type: RequestFailure; };

export interface PlatformTransport {
    readonly sendRequest: (request: PlatformRequest) => Promise<RequestResult>;
    readonly countRequests: () => number;
    readonly close: () => Promise<void>;
}

export interface TransportOptions {
    /** Base URLs, tried in turn as long as no connection can be established. */
    readonly addresses: readonly string[];
    readonly timeoutMs: number;
}

/** Errors that occur only while a connection is being established, before a request is written to it. */
const connectionErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

export function createPlatformTransport(opts: TransportOptions): PlatformTransport {
    const connectTimeoutMs = Math.max(1, Math.floor(opts.timeoutMs / 2));
    const agent = new Agent({ pipelining: 1, connect: { timeout: connectTimeoutMs } });
    let addressIndex = 0;
    let requestCount = 0;

    const sendToAddress = async (address: string, request: PlatformRequest): Promise<RequestResult> => {
        requestCount += 1;
        try {
            const { statusCode, body } = await agent.request({
                origin: address,
                path: request.path,
                method: request.method,
                headers: {
                    ...request.headers,
                    ...(request.body === undefined ? {} : { "content-type": "application/json" }),
                },
                body: request.body,
                headersTimeout: 0,
                bodyTimeout: 0,
                signal: AbortSignal.timeout(opts.timeoutMs + (request.extraTimeoutMs ?? 0)),
            });
            return { type: "responded", response: { status: statusCode, body: parseJson(await body.text()) } };
        }
        catch (error) {
            const { code } = error as { readonly code?: string; };
            return { type: code !== undefined && connectionErrorCodes.has(code) ? "notSent" : "lost" };
        }
    };

    return {
        sendRequest: async request => {
            for (let tries = 1; tries <= opts.addresses.length; tries += 1) {
                const address = opts.addresses[addressIndex % opts.addresses.length] ?? "";
                const result = await sendToAddress(address, request);
                if (result.type === "responded") return result;
                // The next request starts at another address; this one is retried only if it cannot have arrived.
                addressIndex += 1;
                if (result.type === "lost") return result;
            }
            return { type: "notSent" };
        },
        countRequests: () => requestCount,
        close: () => agent.destroy(),
    };
}
