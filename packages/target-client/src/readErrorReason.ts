/** Returns a short reason for logs: the error's code where it has one. */
export function readErrorReason(error: unknown): string {
    const { code, message, name } = error as Partial<Record<"code" | "message" | "name", unknown>>;
    // undici states the code of parse errors in some cases only.
    if (name === "HTTPParserError") return "malformed answer";
    return typeof code === "string" ? code : String(message ?? "unknown error");
}
