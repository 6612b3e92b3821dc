/** Reads the body of a request up to a limit. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestError } from "./requestError.js";

// A caller that is told of the limit while it sends can read the answer only if the rest is received and discarded.
const discardFactor = 8;

/** Rejects with `BODY_TOO_LARGE`, or with `BODY_MALFORMED` when the caller goes away before the end. */
export function readBody(req: IncomingMessage, res: ServerResponse, maxBytes: number): Promise<Buffer> {
    const announced = Number(req.headers["content-length"] ?? 0);
    if (announced > maxBytes) {
        if (announced > maxBytes * discardFactor) res.setHeader("connection", "close");
        return Promise.reject(new RequestError("BODY_TOO_LARGE", { detail: `The limit is ${maxBytes} bytes.` }));
    }
    if (req.headers.expect !== undefined) res.writeContinue();
    return collectBody(req, maxBytes);
}

function collectBody(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        let chunks: Buffer[] = [];
        let received = 0;
        req.on("data", (chunk: Buffer) => {
            received += chunk.byteLength;
            if (received <= maxBytes) {
                chunks.push(chunk);
                return;
            }
            chunks = [];
            reject(new RequestError("BODY_TOO_LARGE", { detail: `The limit is ${maxBytes} bytes.` }));
            if (received > maxBytes * discardFactor) req.destroy();
        });
        req.on("end", () => resolve(Buffer.concat(chunks)));
        const refuse = (): void => reject(new RequestError("BODY_MALFORMED", { detail: "It is incomplete." }));
        req.on("error", refuse);
        req.on("close", refuse);
    });
}
