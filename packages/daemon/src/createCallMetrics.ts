/** Per-call metrics: queueing time, time to first byte, duration and retries. */
import type { Metrics } from "@rhubarbwheel/telemetry/createMetrics";
import type { Call } from "@rhubarbwheel/types/ports";

export interface CallMetricsOptions {
    readonly metrics: Pick<Metrics, "record">;
    readonly getNow: () => number;
}

export function createCallMetrics(opts: CallMetricsOptions) {
    const { metrics, getNow } = opts;
    const arrivalTimes = new WeakMap<Call, number>();

    /** Returns the call with a responder that records time to first byte and duration. */
    const instrumentCall = (call: Call): Call => {
        const arrivedAt = getNow();
        const tags = { pool: call.service };
        const recordElapsed = (name: "request.first_byte" | "request.duration") =>
            metrics.record(name, getNow() - arrivedAt, tags);
        const { responder } = call;
        const instrumented: Call = {
            ...call,
            responder: {
                ...responder,
                start: (status, headers) => {
                    recordElapsed("request.first_byte");
                    responder.start(status, headers);
                },
                finish: () => {
                    recordElapsed("request.duration");
                    responder.finish();
                },
                fail: failure => {
                    recordElapsed("request.duration");
                    responder.fail(failure);
                },
            },
        };
        arrivalTimes.set(instrumented, arrivedAt);
        return instrumented;
    };

    /** Records the queueing time on the first attempt, and a retry on each later one. */
    const recordAttempt = (call: Call, attempt: number): void => {
        const tags = { pool: call.service };
        const arrivedAt = arrivalTimes.get(call);
        if (attempt > 1) metrics.record("request.retries", 1, tags);
        else if (arrivedAt !== undefined) metrics.record("queue.age", getNow() - arrivedAt, tags);
    };

    return { instrumentCall, recordAttempt };
}

export type CallMetrics = ReturnType<typeof createCallMetrics>;
