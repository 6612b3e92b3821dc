/** HTTP calls to the platform over one or more addresses of the same store. */
import { Agent } from "undici";

export interface PlatformCall {
    readonly method: "GET" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Time beyond the usual timeout, for a call that waits at the platform. */
    readonly extraTimeoutMs?: number;
}

export interface PlatformAnswer {
    readonly status: number;
    /** Parsed body; `undefined` when it is empty or not JSON. */
    readonly body: unknown;
}

/** `notSent`: no byte of the call left this process. `lost`: the call may have arrived, and its answer is not known. */
export type CallFailure = "notSent" | "lost";

export type CallResult =
    | { readonly type: "answered"; readonly answer: PlatformAnswer; }
    | { readonly type: CallFailure; };

export interface PlatformTransport {
    readonly call: (call: PlatformCall) => Promise<CallResult>;
    readonly countCalls: () => number;
    readonly close: () => Promise<void>;
}

export interface TransportOptions {
    /** Base URLs, tried in turn while connections are refused. */
    readonly addresses: readonly string[];
    readonly timeoutMs: number;
}

/** Errors that arise only while a connection is set up, before a request is written to it. */
const connectErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

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
    let current = 0;
    let calls = 0;

    const callAddress = async (address: string, call: PlatformCall): Promise<CallResult> => {
        calls += 1;
        try {
            const { statusCode, body } = await agent.request({
                origin: address,
                path: call.path,
                method: call.method,
                headers: {
                    ...call.headers,
                    ...(call.body === undefined ? {} : { "content-type": "application/json" }),
                },
                body: call.body,
                headersTimeout: 0,
                bodyTimeout: 0,
                signal: AbortSignal.timeout(opts.timeoutMs + (call.extraTimeoutMs ?? 0)),
            });
            return { type: "answered", answer: { status: statusCode, body: parseJson(await body.text()) } };
        }
        catch (error) {
            const { code } = error as { readonly code?: string; };
            return { type: code !== undefined && connectErrorCodes.has(code) ? "notSent" : "lost" };
        }
    };

    return {
        call: async call => {
            for (let tried = 1; tried <= opts.addresses.length; tried += 1) {
                const address = opts.addresses[current % opts.addresses.length] ?? "";
                const result = await callAddress(address, call);
                if (result.type === "answered") return result;
                // The next call starts at another address; this one goes on only if it cannot have arrived.
                current += 1;
                if (result.type === "lost") return result;
            }
            return { type: "notSent" };
        },
        countCalls: () => calls,
        close: () => agent.destroy(),
    };
}
