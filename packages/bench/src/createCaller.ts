/** Client of the fleet: sends chat completions and orders, and checks that each response is complete and its own. */
import { performance } from "node:perf_hooks";
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";

export type CallerOutcome = "complete" | "notRun" | "unknown";

export interface CallerResult {
    readonly outcome: CallerOutcome;
    /** Whether the response belongs to another request. */
    readonly crossed: boolean;
    readonly outputTokens: number;
    readonly totalMs: number;
    readonly firstTokenMs: number | undefined;
    /** Error code of the response or of the connection, if the call did not complete. */
    readonly code: string | undefined;
    readonly retryAfterMs: number | undefined;
    /** Idempotency key of the call, if any. */
    readonly key: string | undefined;
}

export interface ChatOptions {
    readonly router: string;
    readonly token: string;
    readonly model: string;
    /** `<workspace>/<request>`; the model stand-in includes it in each output token. */
    readonly user: string;
    readonly prompt: string;
    readonly maxTokens: number;
    /** Aborts the call after this time. */
    readonly timeoutMs?: number;
    /** Called for each output token as it arrives. */
    readonly onToken?: (index: number) => void;
}

export interface OrderOptions {
    readonly router: string;
    readonly token: string;
    readonly service: string;
    readonly orderId: string;
    readonly key?: string;
    /** Aborts the call after this time. */
    readonly timeoutMs?: number;
}

const maxConnectionsPerRouter = 2_000;
const callTimeoutMs = 120_000;

export function createCaller() {
    const agent = new Agent({
        connections: maxConnectionsPerRouter,
        pipelining: 1,
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs,
    });

    const sendChat = async (opts: ChatOptions): Promise<CallerResult> => {
        const startedAt = performance.now();
        const { user, maxTokens } = opts;
        const body = JSON.stringify({
            model: opts.model,
            user,
            max_tokens: maxTokens,
            stream: true,
            messages: [{ role: "user", content: opts.prompt }],
        });
        try {
            const response = await post(
                agent,
                `${opts.router}/v1/chat/completions`,
                opts.token,
                body,
                {},
                opts.timeoutMs,
            );
            if (response.statusCode !== 200) return await readErrorResponse(response, startedAt);
            return await readStream(response, opts, startedAt);
        }
        catch (error) {
            return createErrorResult(error, startedAt);
        }
    };

    const sendOrder = async (opts: OrderOptions): Promise<CallerResult> => {
        const startedAt = performance.now();
        const headers: Record<string, string> = opts.key === undefined ? {} : { "idempotency-key": opts.key };
        try {
            const body = JSON.stringify({ orderId: opts.orderId });
            const response = await post(
                agent,
                `${opts.router}/services/${opts.service}/orders`,
                opts.token,
                body,
                headers,
                opts.timeoutMs,
            );
            if (response.statusCode >= 300) return await readErrorResponse(response, startedAt);
            const responseBody = await response.body.json() as { orderId?: string; };
            return createResult(startedAt, {
                outcome: "complete",
                crossed: responseBody.orderId !== opts.orderId,
                key: readHeader(response, "idempotency-key"),
            });
        }
        catch (error) {
            return createErrorResult(error, startedAt);
        }
    };

    const mintKey = async (router: string, token: string): Promise<string | undefined> => {
        try {
            const response = await post(agent, `${router}/v1/keys`, token, "", {});
            const responseBody = await response.body.json() as { key?: string; };
            return responseBody.key;
        }
        catch {
            return undefined;
        }
    };

    return { sendChat, sendOrder, mintKey, close: () => agent.destroy() };
}

export type Caller = ReturnType<typeof createCaller>;

function post(
    agent: Agent,
    url: string,
    token: string,
    body: string,
    headers: Record<string, string>,
    timeoutMs?: number,
) {
    return request(url, {
        signal: timeoutMs === undefined ? undefined : AbortSignal.timeout(timeoutMs),
        dispatcher: agent,
        method: "POST",
        headers: { authorization: `Bearer ${token}`, "content-type": "application/json", ...headers },
        body,
    });
}

function createResult(startedAt: number, overrides: Partial<CallerResult>): CallerResult {
    return {
        outcome: "unknown",
        crossed: false,
        outputTokens: 0,
        totalMs: performance.now() - startedAt,
        firstTokenMs: undefined,
        code: undefined,
        retryAfterMs: undefined,
        key: undefined,
        ...overrides,
    };
}

function createErrorResult(error: unknown, startedAt: number): CallerResult {
    const code = (error as { code?: string; }).code ?? String(error);
    // A refused connection proves that no router received the call.
    return createResult(startedAt, { outcome: code === "ECONNREFUSED" ? "notRun" : "unknown", code });
}

function readHeader(response: Dispatcher.ResponseData, name: string): string | undefined {
    const value = response.headers[name];
    return typeof value === "string" ? value : undefined;
}

async function readErrorResponse(response: Dispatcher.ResponseData, startedAt: number): Promise<CallerResult> {
    const responseBody = await response.body.json() as { error?: { code?: string; outcome?: CallerOutcome; }; };
    const retryAfter = readHeader(response, "retry-after");
    return createResult(startedAt, {
        outcome: responseBody.error?.outcome === "notRun" ? "notRun" : "unknown",
        code: responseBody.error?.code ?? `status ${response.statusCode}`,
        retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000,
        key: readHeader(response, "idempotency-key"),
    });
}

interface ChatChunk {
    readonly user?: string;
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
}

async function readStream(
    response: Dispatcher.ResponseData,
    opts: ChatOptions,
    startedAt: number,
): Promise<CallerResult> {
    let buffered = "";
    let text = "";
    let outputTokens = 0;
    let firstTokenMs: number | undefined;
    let done = false;
    let code: string | undefined;
    for await (const chunk of response.body) {
        const events = (buffered + (chunk as Buffer).toString()).split("\n\n");
        buffered = events.pop() ?? "";
        for (const event of events) {
            const data = event.split("\n").find(line => line.startsWith("data: "))?.slice("data: ".length);
            if (event.startsWith("event: error")) code = parseErrorCode(data);
            else if (data === "[DONE]") done = true;
            else if (data !== undefined) {
                const content = (JSON.parse(data) as ChatChunk).choices?.[0]?.delta?.content;
                if (content === undefined) continue;
                firstTokenMs ??= performance.now() - startedAt;
                opts.onToken?.(outputTokens);
                outputTokens += 1;
                text += content;
            }
        }
    }
    const outcome = done && code === undefined ? "complete" : "unknown";
    return createResult(startedAt, {
        outcome,
        code,
        outputTokens,
        firstTokenMs,
        crossed: !isExpectedOutput(text, opts.user),
    });
}

function parseErrorCode(data: string | undefined): string {
    const parsed = JSON.parse(data ?? "{}") as { error?: { code?: string; }; };
    return parsed.error?.code ?? "INTERNAL";
}

/** Token `n` from the model stand-in is `<user>#<n> `, so repeated, lost and unrelated tokens are detected. */
function isExpectedOutput(text: string, user: string): boolean {
    const tokens = text.split(" ").filter(token => token !== "");
    return tokens.every((token, index) => token === `${user}#${index}`);
}
