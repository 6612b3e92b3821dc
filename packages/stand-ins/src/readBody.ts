/** Reads request bodies of the stand-ins. */
import type { IncomingMessage } from "node:http";

/** Raised for a body over the limit, or one that is not a JSON object. */
export class BodyError extends Error {
    constructor(readonly status: 400 | 413, message: string) {
        super(message);
    }
}

export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limitBytes) throw new BodyError(413, "the body is over the limit");
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

export async function readJson(request: IncomingMessage, limitBytes: number): Promise<Record<string, unknown>> {
    const body = await readBody(request, limitBytes);
    try {
        const value: unknown = body.length === 0 ? {} : JSON.parse(body.toString("utf8"));
        if (typeof value === "object" && value) return value as Record<string, unknown>;
    }
    catch {
        // Falls through to the error below.
    }
    throw new BodyError(400, "the body is not a JSON object");
}
