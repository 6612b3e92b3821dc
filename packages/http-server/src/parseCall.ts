/** Derives the call metadata that the reducer needs: service, cost estimate, prompt prefix and idempotency. */
import type { NamedService } from "@rhubarbwheel/types/events";
import type { Call } from "@rhubarbwheel/types/ports";
import type { IdempotentRoute, ServiceSpec } from "@rhubarbwheel/types/resources";
import murmurhash from "murmurhash";
import { RequestError } from "./requestError.js";

export type ParsedCall = Pick<
    Call,
    "service" | "serviceKind" | "idempotent" | "streaming" | "inputCost" | "outputCostHint" | "prefixHash"
>;

const bytesPerToken = 4;
// Cost of an output token relative to a prompt token: decoding costs more than prefill.
const outputTokenCost = 2;
// Long enough to distinguish system prompts, short enough to rarely include text of the user.
const prefixBytes = 256;
const defaultCostPerCall = 1;

/** Throws `BODY_MALFORMED`, with the name of the field, or `MODEL_UNKNOWN`. */
export function parseModelCall(
    body: Buffer,
    findServiceByModel: (model: string) => NamedService | undefined,
): ParsedCall {
    const request = parseObject(body);
    const { model, messages, stream } = request;
    if (typeof model !== "string" || model === "") throw createBodyError("\"model\" must be a non-empty string.");
    if (!Array.isArray(messages) || messages.length === 0)
        throw createBodyError("\"messages\" must be a non-empty array.");
    if (stream !== undefined && typeof stream !== "boolean") throw createBodyError("\"stream\" must be true or false.");
    const service = findServiceByModel(model);
    if (service === undefined)
        throw new RequestError("MODEL_UNKNOWN", { detail: `The model is "${model.slice(0, 100)}".` });
    const prompt = Buffer.from(JSON.stringify(messages));
    const maxTokens = readMaxTokens(request);
    return {
        service: service.name,
        serviceKind: "model",
        idempotent: true,
        streaming: stream === true,
        inputCost: Math.ceil(prompt.byteLength / bytesPerToken),
        prefixHash: murmurhash.v3(prompt.subarray(0, prefixBytes)),
        ...(maxTokens === undefined ? {} : { outputCostHint: outputTokenCost * maxTokens }),
    };
}

export function parsePlainCall(service: NamedService, method: string, path: string): ParsedCall {
    return {
        service: service.name,
        serviceKind: "plain",
        idempotent: isIdempotentRoute(service.spec, method, path),
        streaming: false,
        inputCost: service.spec.costPerCall ?? defaultCostPerCall,
    };
}

/** A prefix matches whole segments: `/stock` matches `/stock` and `/stock/7`, but not `/stocktaking`. */
export function isIdempotentRoute(spec: ServiceSpec, method: string, path: string): boolean {
    const pathname = path.split("?", 1)[0] ?? "";
    const matches = (route: IdempotentRoute): boolean => {
        if (route.method.toUpperCase() !== method.toUpperCase()) return false;
        const prefix = route.pathPrefix.replace(/\/+$/, "");
        return pathname === prefix || pathname.startsWith(`${prefix}/`);
    };
    return (spec.idempotentRoutes ?? []).some(matches);
}

function parseObject(body: Buffer): Record<string, unknown> {
    let parsed: unknown;
    try {
        parsed = JSON.parse(body.toString("utf8"));
    }
    catch {
        throw createBodyError("The body is not valid JSON.");
    }
    if (typeof parsed !== "object" || !parsed || Array.isArray(parsed))
        throw createBodyError("The body must be a JSON object.");
    return parsed as Record<string, unknown>;
}

function readMaxTokens(request: Record<string, unknown>): number | undefined {
    for (const field of ["max_completion_tokens", "max_tokens"]) {
        const value = request[field] ?? undefined;
        if (value === undefined) continue;
        if (!Number.isSafeInteger(value) || (value as number) < 1)
            throw createBodyError(`"${field}" must be a positive integer.`);
        return value as number;
    }
    return undefined;
}

function createBodyError(detail: string): RequestError {
    return new RequestError("BODY_MALFORMED", { detail });
}
