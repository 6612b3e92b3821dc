/** Errors reported to callers and operators, each with a stable code, an HTTP status, a message and a hint. */

export interface ErrorKind {
    readonly code: string;
    /** HTTP status of the response that reports the error. */
    readonly status: number;
    readonly message: string;
    /** How to resolve the error. */
    readonly hint: string;
}

const errorKinds = {
    CREDENTIAL_MISSING: [
        401,
        "The request has no bearer token.",
        "Send the workspace's token in the Authorization header.",
    ],
    CREDENTIAL_UNKNOWN: [
        401,
        "The bearer token belongs to no workspace.",
        "Check the token, or ask an operator to add its hash to the workspace.",
    ],
    OPERATOR_CREDENTIAL_INVALID: [
        401,
        "The operator token is missing or wrong.",
        "Send the token from the router's --operator-token-file setting.",
    ],
    SERVICE_UNKNOWN: [404, "The service does not exist.", "List the services with: rhubarbwheel get services"],
    MODEL_UNKNOWN: [404, "No service provides this model.", "Use a model that is listed in a service's spec.models."],
    ROUTE_UNKNOWN: [
        404,
        "No route matches the path.",
        "See the list of routes in the README of @rhubarbwheel/http-server.",
    ],
    METHOD_NOT_ALLOWED: [
        405,
        "The method is not allowed on this path.",
        "See the list of routes in the README of @rhubarbwheel/http-server.",
    ],
    RESOURCE_NOT_FOUND: [404, "The resource does not exist.", "List the resources of this kind to see its name."],
    RESOURCE_INVALID: [400, "The resource is not valid.", "Correct the named fields and send it again."],
    VERSION_CONFLICT: [
        409,
        "The resource has changed since it was read.",
        "Read the current version, apply the change to it and send it again.",
    ],
    PRECONDITION_MISSING: [
        428,
        "The write has no precondition.",
        "Send If-Match with the version that was read, or If-None-Match: * to create.",
    ],
    BODY_TOO_LARGE: [
        413,
        "The request body exceeds the size limit.",
        "Send a smaller body, or raise --max-body-bytes on the routers.",
    ],
    BODY_MALFORMED: [
        400,
        "The request body is not valid JSON of the expected structure.",
        "Correct the body; the message names the field.",
    ],
    HEADERS_TOO_LARGE: [431, "The headers exceed the size limit.", "Send fewer or shorter headers."],
    BODY_TIMEOUT: [408, "The request body did not arrive in time.", "Retry, and send the body without pauses."],
    SHARE_USED: [
        429,
        "The workspace has used its share of a pool that has no free capacity.",
        "Retry after the time in Retry-After, or ask the operators for more capacity.",
    ],
    PROMPT_QUARANTINED: [
        503,
        "Engines crashed on a part of this prompt, so the call did not run.",
        "Change the prompt, or ask the operators (log event 1714).",
    ],
    HEADER_INVALID: [400, "A header is not valid.", "Correct or remove the header that the message names."],
    PATH_INVALID: [
        400,
        "The request path is not valid.",
        "Send a path that starts with a single / and has no dot segments or control characters.",
    ],
    QUEUE_FULL: [429, "The workspace has too many open or queued requests.", "Retry after the time in Retry-After."],
    CALLER_GONE: [
        408,
        "The caller closed the connection before the router read the call.",
        "Keep the connection open for the response.",
    ],
    QUEUE_TIMEOUT: [
        503,
        "No capacity became available within the queue timeout.",
        "Retry after the time in Retry-After.",
    ],
    NO_TARGET: [
        503,
        "No target of the service accepts new requests.",
        "Check failure domains and targets with: rhubarbwheel status",
    ],
    TARGETS_LIMITED: [
        503,
        "All targets of the service leave, pause or have taken as many requests as they accept.",
        "Retry after the time in Retry-After.",
    ],
    STREAM_VERSION_UNKNOWN: [
        503,
        "It is not known which version of the service has begun the stream, so that it does not go on.",
        "Begin a new stream, without the id of an event.",
    ],
    STREAM_VERSION_GONE: [
        503,
        "No target of the version that has begun the stream is left.",
        "Begin a new stream, without the id of an event.",
    ],
    CONFIGURATION_EMPTY: [503, "The router has no confirmed configuration yet.", "Retry at another router."],
    CONFIGURATION_STALE: [
        503,
        "The router cannot confirm that its configuration is current.",
        "Retry at another router.",
    ],
    DRAINING: [503, "The router is shutting down.", "Retry at another router."],
    OVERLOADED: [503, "The router or the pool is overloaded.", "Retry after the time in Retry-After."],
    TARGET_REFUSED: [503, "The target did not accept the call.", "Retry after the time in Retry-After."],
    TARGET_BROKEN: [
        502,
        "The connection to the target broke before the response was complete.",
        "Check whether the call took effect before sending it again.",
    ],
    TARGET_TIMEOUT: [
        504,
        "The target did not respond in time.",
        "Check whether the call took effect before sending it again.",
    ],
    TARGET_ANSWER_INVALID: [
        502,
        "The target's response is not valid.",
        "Check whether the call took effect before sending it again.",
    ],
    KEY_MALFORMED: [
        400,
        "The idempotency key is not valid.",
        "Use 1 to 128 characters from A-Z a-z 0-9 . _ - or a key from POST /v1/keys.",
    ],
    KEY_REUSED: [422, "The idempotency key was used for another call.", "Use a new key for each distinct call."],
    KEY_OWNER_GONE: [
        502,
        "The router that owns the idempotency key is no longer running.",
        "Check whether the call took effect; then use a new key.",
    ],
    KEY_OWNER_UNREACHABLE: [
        502,
        "The router that owns the idempotency key cannot be reached.",
        "Retry with the same key, or check whether the call took effect.",
    ],
    KEY_RECORD_EVICTED: [
        502,
        "The recorded response of the idempotency key has been evicted.",
        "Check whether the call took effect; then use a new key.",
    ],
    KEY_STORE_UNAVAILABLE: [
        503,
        "The idempotency key could not be bound because the platform's store is unreachable.",
        "Retry later, or use a key from POST /v1/keys.",
    ],
    PLATFORM_UNAVAILABLE: [503, "The platform's store is unreachable; the change was not applied.", "Retry later."],
    PLATFORM_UNKNOWN: [
        504,
        "It could not be determined whether the change took effect.",
        "Read the resource before sending the change again.",
    ],
    SETTINGS_INVALID: [500, "The settings are not valid.", "Correct the named settings; see --help."],
    INTERNAL: [500, "An internal error occurred.", "Report the log lines with this request id."],
} as const satisfies Record<string, readonly [number, string, string]>;

export type ErrorCode = keyof typeof errorKinds;

export const errorCodes = Object.keys(errorKinds) as readonly ErrorCode[];

/** Returns the error kind with the given code, or `INTERNAL` for an unknown code. */
export function getErrorKind(code: string): ErrorKind {
    const knownCode = code in errorKinds ? (code as ErrorCode) : "INTERNAL";
    const [status, message, hint] = errorKinds[knownCode];
    return { code: knownCode, status, message, hint };
}

/** An error of a known kind. `detail` is appended to the message. */
export class RouterError extends Error {
    readonly code: ErrorCode;
    readonly status: number;
    readonly hint: string;

    constructor(code: ErrorCode, opts: { readonly detail?: string; readonly cause?: unknown; } = {}) {
        const kind = getErrorKind(code);
        super(opts.detail === undefined ? kind.message : `${kind.message} ${opts.detail}`, { cause: opts.cause });
        this.name = "RouterError";
        this.code = code;
        this.status = kind.status;
        this.hint = kind.hint;
    }
}
