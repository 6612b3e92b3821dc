/** An error with which the server turns a request away; the middleware answers with it. */
import type { ErrorAnswer } from "./sendError.js";

export class RequestError extends Error {
    readonly answer: ErrorAnswer;

    constructor(code: string, opts: Partial<Omit<ErrorAnswer, "code">> = {}) {
        super(opts.detail ?? code);
        this.name = "RequestError";
        this.answer = { outcome: "notRun", ...opts, code };
    }
}
