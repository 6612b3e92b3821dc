/** Reads request bodies of the stand-ins. */
import type { IncomingMessage } from "node:http";

/** Thrown for a body that exceeds the size limit or is not a JSON object. */
export class BodyError extends Error {
    constructor(readonly status: 400 | 413, message: string) {
        super(message);
    }
}

export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maxBytes) throw new BodyError(413, "request body exceeds the size limit");
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

export async function readJson(request: IncomingMessage, maxBytes: number): Promise<Record<string, unknown>> {
    const body = await readBody(request, maxBytes);
    try {
        const value: unknown = body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
        if (typeof value === "object" && value) return value as Record<string, unknown>;
    }
    catch {
        // Falls through to the error below.
    }
    throw new BodyError(400, "request body is not a JSON object");
}
