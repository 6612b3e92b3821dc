/** Sends an answer that is held in memory to a responder. */
import type { CallResponder } from "@rhubarbwheel/types/ports";

export interface CompleteAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** Resolves when the answer has been handed over, or the caller has gone. */
export async function sendAnswer(answer: CompleteAnswer, responder: CallResponder): Promise<void> {
    responder.begin(answer.status, answer.headers);
    try {
        if (answer.body.byteLength > 0 && !responder.write(answer.body)) await responder.waitForDrain();
        responder.finish();
    }
    catch {
        // The caller has gone; the responder has already closed the connection.
    }
}
