/** Counters, gauges and latency histograms in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

export interface PrometheusMetrics {
    readonly countOutcome: (service: string, outcome: string) => void;
    /** Counts a model request by the number of tokens that its response was expected to have. */
    readonly countSizedOutcome: (service: string, expectedOutputTokens: number, outcome: string) => void;
    readonly countAttempt: (service: string, result: string) => void;
    readonly countRefusal: (code: string) => void;
    readonly observeFirstByte: (service: string, ms: number) => void;
    readonly observeDuration: (service: string, ms: number) => void;
    readonly render: () => Promise<string>;
}

export interface PrometheusMetricsOptions {
    readonly router: string;
    readonly failureDomain: string;
    /** Gauges by name, whose values are read on each scrape. */
    readonly gauges: Readonly<Record<string, { readonly help: string; readonly read: () => number; }>>;
    /** Gauges with a value for each service. */
    readonly serviceGauges: Readonly<Record<string, ServiceGauge>>;
}

export interface ServiceGauge {
    readonly help: string;
    readonly read: () => ReadonlyMap<string, number>;
}

/** Upper bounds in milliseconds. They include the latency targets that operators configure. */
const latencyBuckets = [10, 25, 50, 100, 200, 300, 600, 800, 1_200, 2_500, 5_000, 15_000];

/** Upper bounds of the classes of expected output tokens. */
const outputTokenClasses = [32, 128, 256, 512, 1_024, 4_096];

function formatOutputTokenClass(tokens: number): string {
    return String(outputTokenClasses.find(bound => tokens <= bound) ?? "more");
}

export function createPrometheusMetrics(opts: PrometheusMetricsOptions): PrometheusMetrics {
    const registry = new Registry();
    registry.setDefaultLabels({ router: opts.router, failure_domain: opts.failureDomain });
    const registers = [registry];
    const outcomes = new Counter({
        name: "rhubarbwheel_requests_total",
        help: "Requests that ended, by service and outcome.",
        labelNames: ["service", "outcome"],
        registers,
    });
    const sizedOutcomes = new Counter({
        name: "rhubarbwheel_model_requests_total",
        help:
            "Model requests that ended, by the tokens that the response was expected to have at most, and by outcome.",
        labelNames: ["service", "output_tokens", "outcome"],
        registers,
    });
    const attempts = new Counter({
        name: "rhubarbwheel_attempts_total",
        help: "Attempts that ended, by service and result.",
        labelNames: ["service", "result"],
        registers,
    });
    const refusals = new Counter({
        name: "rhubarbwheel_refusals_total",
        help: "Calls that this router refused with an error of its own, by error code.",
        labelNames: ["code"],
        registers,
    });
    const firstByte = new Histogram({
        name: "rhubarbwheel_first_byte_ms",
        help: "Time from the arrival of a request to the first byte of the target's response.",
        labelNames: ["service"],
        buckets: latencyBuckets,
        registers,
    });
    const duration = new Histogram({
        name: "rhubarbwheel_duration_ms",
        help: "Time from the arrival of a request to its end.",
        labelNames: ["service"],
        buckets: latencyBuckets,
        registers,
    });
    for (const [name, { help, read }] of Object.entries(opts.gauges)) {
        new Gauge({
            name: `rhubarbwheel_${name}`,
            help,
            registers,
            collect() {
                this.set(read());
            },
        });
    }
    for (const [name, { help, read }] of Object.entries(opts.serviceGauges)) {
        new Gauge({
            name: `rhubarbwheel_${name}`,
            help,
            labelNames: ["service"],
            registers,
            collect() {
                // A pool that another router coordinates now has no value here.
                this.reset();
                for (const [service, value] of read()) this.set({ service }, value);
            },
        });
    }
    return {
        countOutcome: (service, outcome) => outcomes.inc({ service, outcome }),
        countSizedOutcome: (service, expectedOutputTokens, outcome) =>
            sizedOutcomes.inc({ service, output_tokens: formatOutputTokenClass(expectedOutputTokens), outcome }),
        countAttempt: (service, result) => attempts.inc({ service, result }),
        countRefusal: code => refusals.inc({ code }),
        observeFirstByte: (service, ms) => firstByte.observe({ service }, ms),
        observeDuration: (service, ms) => duration.observe({ service }, ms),
        render: () => registry.metrics(),
    };
}
