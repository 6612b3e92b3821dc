/** Sends a buffered response to a responder. */
import type { CallResponder } from "@rhubarbwheel/types/ports";

export interface CompleteResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** Resolves when the response has been written, or the caller has disconnected. */
export async function sendResponse(response: CompleteResponse, responder: CallResponder): Promise<void> {
    responder.start(response.status, response.headers);
    try {
        if (response.body.byteLength > 0 && !responder.write(response.body)) await responder.waitForDrain();
        responder.finish();
    }
    catch {
        // The caller has disconnected; the responder has already closed the connection.
    }
}
