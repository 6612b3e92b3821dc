/** Metrics of single calls: how long they waited, how soon they were answered, and how long they took. */
import type { Metrics } from "@rhubarbwheel/telemetry/createMetrics";
import type { Call } from "@rhubarbwheel/types/ports";

export interface CallMetricsOptions {
    readonly metrics: Pick<Metrics, "record">;
    readonly getNow: () => number;
}

export function createCallMetrics(opts: CallMetricsOptions) {
    const { metrics, getNow } = opts;
    const arrivals = new WeakMap<Call, number>();

    /** Returns the call with a responder that measures its answer. */
    const measureCall = (call: Call): Call => {
        const arrivedAt = getNow();
        const tags = { pool: call.service };
        const recordAge = (name: "request.first_byte" | "request.duration") =>
            metrics.record(name, getNow() - arrivedAt, tags);
        const { responder } = call;
        const measured: Call = {
            ...call,
            responder: {
                ...responder,
                begin: (status, headers) => {
                    recordAge("request.first_byte");
                    responder.begin(status, headers);
                },
                finish: () => {
                    recordAge("request.duration");
                    responder.finish();
                },
                fail: failure => {
                    recordAge("request.duration");
                    responder.fail(failure);
                },
            },
        };
        arrivals.set(measured, arrivedAt);
        return measured;
    };

    /** Counts an attempt; the first one ends the time in the queue. */
    const recordAttempt = (call: Call, attempt: number): void => {
        const tags = { pool: call.service };
        const arrivedAt = arrivals.get(call);
        if (attempt > 1) metrics.record("request.retries", 1, tags);
        else if (arrivedAt !== undefined) metrics.record("queue.age", getNow() - arrivedAt, tags);
    };

    return { measureCall, recordAttempt };
}

export type CallMetrics = ReturnType<typeof createCallMetrics>;
