/** Errors of the command line tool, each with an exit code for scripts. */
import { getErrorKind } from "@rhubarbwheel/error/routerError";

/** Documented in `docs/OPERATIONS.md`. */
export const exitCodes = { ok: 0, refused: 1, usage: 2, conflict: 3, notRun: 4, unknown: 5 } as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

export class CliError extends Error {
    override readonly name = "CliError";
    readonly exitCode: ExitCode;
    readonly code: string;
    readonly hint: string;

    constructor(exitCode: ExitCode, code: string, message: string, hint: string) {
        super(message);
        this.exitCode = exitCode;
        this.code = code;
        this.hint = hint;
    }
}

export function createUsageError(message: string): CliError {
    return new CliError(exitCodes.usage, "USAGE", message, "See: rhubarbwheel --help");
}

/** The response to a write was lost, so the write may have taken effect. */
export function createUnknownOutcomeError(detail: string): CliError {
    const { code, message, hint } = getErrorKind("PLATFORM_UNKNOWN");
    return new CliError(exitCodes.unknown, code, `${message} ${detail}`, hint);
}

interface ErrorBody {
    readonly code?: unknown;
    readonly message?: unknown;
    readonly hint?: unknown;
    readonly outcome?: unknown;
}

/** Parses the error in a response body. If the body is not an error document, the error is derived from the status. */
export function parseErrorResponse(status: number, body: string, isWrite: boolean): CliError {
    const error = parseErrorBody(body);
    const code = typeof error.code === "string" ? error.code : `HTTP_${status}`;
    const message = typeof error.message === "string" ? error.message : `The router responded with status ${status}.`;
    const hint = typeof error.hint === "string"
        ? error.hint
        : "Check that --router is the URL of a rhubarbwheel router.";
    return new CliError(findExitCode(status, code, error.outcome, isWrite), code, message, hint);
}

function parseErrorBody(body: string): ErrorBody {
    try {
        const parsed = JSON.parse(body) as { error?: ErrorBody; } | undefined;
        return parsed?.error ?? {};
    }
    catch {
        return {};
    }
}

function findExitCode(status: number, code: string, outcome: unknown, isWrite: boolean): ExitCode {
    if (code === "VERSION_CONFLICT" || status === 409 || status === 412) return exitCodes.conflict;
    if (outcome === "unknown" || code === "PLATFORM_UNKNOWN") return exitCodes.unknown;
    if (status < 500 && status !== 429) return exitCodes.refused;
    const isProvablyNotRun = outcome === "notRun" || status === 503 || status === 429 || !isWrite;
    return isProvablyNotRun ? exitCodes.notRun : exitCodes.unknown;
}
