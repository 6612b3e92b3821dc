/** Polls the load report of a target. */
import { createByteBuffer } from "@rhubarbwheel/bytes/createByteBuffer";
import type { PollResult } from "@rhubarbwheel/types/ports";
import type { Dispatcher } from "undici";

export interface PollOptions {
    readonly dispatcher: Dispatcher;
    readonly getNow: () => number;
    readonly timeoutMs: number;
}

const maxReportBytes = 65_536;

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/** Returns `undefined` when the text is not a valid load report. */
export function parseLoad(
    text: string,
): { startId: string; running: number; queued: number; sampledAgeMs: number; } | undefined {
    try {
        const { startId, running, queued, sampledAgeMs } = JSON.parse(text) as Record<string, unknown>;
        const isValid = typeof startId === "string" && startId !== "" && isCount(running) && isCount(queued)
            && isCount(sampledAgeMs);
        return isValid ? { startId, running, queued, sampledAgeMs } : undefined;
    }
    catch {
        return undefined;
    }
}

/** Requests `/load`. A dispatch handler with one timer costs less CPU time than a request with an abort signal. */
function readReport(address: string, opts: PollOptions): Promise<string> {
    const { origin, pathname } = new URL(address);
    return new Promise((resolve, reject) => {
        const received = createByteBuffer();
        let failed = false;
        let controller: Dispatcher.DispatchController | undefined;
        const fail = (error: Error): void => {
            failed = true;
            clearTimeout(timer);
            reject(error);
            controller?.abort(error);
        };
        const timer = setTimeout(() => fail(new Error("load report timed out")), opts.timeoutMs);
        opts.dispatcher.dispatch({ origin, path: `${pathname.replace(/\/$/, "")}/load`, method: "GET" }, {
            onRequestStart: dispatchController => {
                controller = dispatchController;
                if (failed) dispatchController.abort(new Error("load report timed out"));
            },
            onResponseStart: (_controller, status) => {
                if (status >= 200 && status !== 200) fail(new Error(`status ${status}`));
            },
            onResponseData: (_controller, chunk) => {
                received.append(chunk);
                if (received.getLength() > maxReportBytes) fail(new Error("load report over the size limit"));
            },
            onResponseEnd: () => {
                clearTimeout(timer);
                resolve(received.take().toString("utf8"));
            },
            onResponseError: (_controller, error) => fail(error),
        });
    });
}

export async function pollLoad(target: string, address: string, opts: PollOptions): Promise<PollResult> {
    const requestSentAt = opts.getNow();
    try {
        const load = parseLoad(await readReport(address, opts));
        if (load === undefined) return { type: "unavailable", refused: false };
        const { startId, running, queued, sampledAgeMs } = load;
        // The whole round trip is added to the age, because the sample may predate the arrival of the request.
        const ageMs = sampledAgeMs + Math.max(0, opts.getNow() - requestSentAt);
        return { type: "reported", report: { target, startId, running, queued, ageMs } };
    }
    catch (error) {
        return { type: "unavailable", refused: (error as { readonly code?: unknown; }).code === "ECONNREFUSED" };
    }
}
