/** Chat completion requests of the model stand-in and its deterministic responses. */

export interface ChatRequest {
    readonly model: string;
    /** `<workspace>/<request>`; part of every output token, so that a response to the wrong request is detected. */
    readonly user: string;
    readonly promptTokens: number;
    /** Length of the first message, which is the unit of the prefix cache. */
    readonly prefixTokens: number;
    readonly prefix: string;
    readonly outputTokens: number;
    readonly streaming: boolean;
    readonly includeUsage: boolean;
}

export interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number; };
}

const charactersPerToken = 4;
const defaultOutputTokens = 32;

interface ChatBody {
    readonly model?: string;
    readonly user?: string;
    readonly messages?: readonly { readonly content?: unknown; }[];
    readonly max_tokens?: number;
    readonly stream?: boolean;
    readonly stream_options?: { readonly include_usage?: boolean; };
    /** `outputTokens` is the actual output length, so that `max_tokens` can be an inaccurate estimate of it. */
    readonly metadata?: { readonly outputTokens?: number; };
}

function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

export function parseChatRequest(value: Record<string, unknown>): ChatRequest {
    const body = value as ChatBody;
    const texts = (body.messages ?? []).map(message => String(message.content ?? ""));
    const outputTokens = Number(body.metadata?.outputTokens ?? body.max_tokens ?? defaultOutputTokens);
    return {
        model: body.model ?? "model",
        user: body.user ?? "",
        promptTokens: texts.reduce((sum, text) => sum + countTokens(text), 0),
        prefixTokens: countTokens(texts[0] ?? ""),
        prefix: texts[0] ?? "",
        outputTokens: Math.max(1, Math.floor(outputTokens) || defaultOutputTokens),
        streaming: body.stream === true,
        includeUsage: body.stream_options?.include_usage === true,
    };
}

/** Returns the text of one output token, which a test can derive from the request alone. */
export function getTokenText(user: string, index: number): string {
    return `${user}#${index} `;
}

export function createUsage(request: ChatRequest, cachedTokens: number): Usage {
    return {
        prompt_tokens: request.promptTokens,
        completion_tokens: request.outputTokens,
        total_tokens: request.promptTokens + request.outputTokens,
        prompt_tokens_details: { cached_tokens: cachedTokens },
    };
}

/** Formats the usage event that follows the token events and precedes `[DONE]`. */
export function formatUsageEvent(id: string, request: ChatRequest, usage: Usage): string {
    const chunk = { id, object: "chat.completion.chunk", model: request.model, choices: [], usage };
    return `data: ${JSON.stringify(chunk)}\n\n`;
}

export function formatTokenEvent(id: string, request: ChatRequest, index: number): string {
    const isLast = index === request.outputTokens - 1;
    const choice = {
        index: 0,
        delta: { content: getTokenText(request.user, index) },
        finish_reason: isLast ? "stop" : undefined,
    };
    return `data: ${
        JSON.stringify({ id, object: "chat.completion.chunk", model: request.model, choices: [choice] })
    }\n\n`;
}

export function createCompletion(id: string, request: ChatRequest, usage: Usage): Record<string, unknown> {
    const tokens = Array.from({ length: request.outputTokens }, (_, index) => getTokenText(request.user, index));
    const message = { role: "assistant", content: tokens.join("") };
    return {
        id,
        object: "chat.completion",
        model: request.model,
        choices: [{ index: 0, message, finish_reason: "stop" }],
        usage,
    };
}
