/** Reads the body of a request up to a limit. */
import { createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestError } from "./requestError.js";

// Up to this multiple of the limit, the rest of the body is received and discarded, so that a caller that is still
// sending can read the error response.
const discardFactor = 8;

/** Rejects with `BODY_TOO_LARGE`, or with `BODY_MALFORMED` if the caller disconnects before the end. */
export function readBody(req: IncomingMessage, res: ServerResponse, maxBytes: number): Promise<Buffer> {
    const declaredBytes = Number(req.headers["content-length"] ?? 0);
    if (declaredBytes > maxBytes) {
        if (declaredBytes > maxBytes * discardFactor) res.setHeader("connection", "close");
        return Promise.reject(new RequestError("BODY_TOO_LARGE", { detail: `The limit is ${maxBytes} bytes.` }));
    }
    if (req.headers.expect !== undefined) res.writeContinue();
    return collectBody(req, maxBytes);
}

function collectBody(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const body = createByteBuffer();
        let receivedBytes = 0;
        req.on("data", (chunk: Buffer) => {
            receivedBytes += chunk.byteLength;
            if (receivedBytes <= maxBytes) {
                body.append(chunk);
                return;
            }
            body.clear();
            reject(new RequestError("BODY_TOO_LARGE", { detail: `The limit is ${maxBytes} bytes.` }));
            if (receivedBytes > maxBytes * discardFactor) req.destroy();
        });
        req.on("end", () => resolve(body.take()));
        const rejectIncomplete = (): void =>
            reject(new RequestError("BODY_MALFORMED", { detail: "The body is incomplete." }));
        req.on("error", rejectIncomplete);
        req.on("close", rejectIncomplete);
    });
}
