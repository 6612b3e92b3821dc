/** Rejects a request; the error middleware sends `response` to the client. */
import type { ErrorResponse } from "./sendError.js";

export class RequestError extends Error {
    readonly response: ErrorResponse;

    constructor(code: string, opts: Partial<Omit<ErrorResponse, "code">> = {}) {
        super(opts.detail ?? code);
        this.name = "RequestError";
        this.response = { outcome: "notRun", ...opts, code };
    }
}
