/** Returns a short reason for logs: the error's code, or its message if it has none. */
export function getErrorReason(error: unknown): string {
    const { code, message, name } = error as Partial<Record<"code" | "message" | "name", unknown>>;
    // undici sets the code of parse errors only in some cases.
    if (name === "HTTPParserError") return "malformed HTTP response";
    return typeof code === "string" ? code : String(message ?? "unknown error");
}
