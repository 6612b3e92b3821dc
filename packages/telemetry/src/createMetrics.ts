/** Metrics over hot-shots (StatsD, UDP). Sending is best effort: no call throws, and without a host nothing is sent. */
import { StatsD } from "hot-shots";
import type { MetricName } from "./metricCatalogue.js";
import { metricCatalogue } from "./metricCatalogue.js";

export interface MetricsOptions {
    /** IP address of the StatsD server; no metrics are sent without it. */
    readonly host?: string;
    readonly port?: number;
    /** Default `rhubarbwheel.`. */
    readonly prefix?: string;
    /** Tags of every metric. */
    readonly tags?: Readonly<Record<string, string>>;
    /** Told of errors of the socket, at most once per call. */
    readonly onError?: (error: Error) => void;
}

export interface Metrics {
    /** Adds to a counter, sets a gauge or records a value in a histogram, as the catalogue says. */
    readonly record: (name: MetricName, value: number, tags?: Readonly<Record<string, string>>) => void;
    /** Resolves when buffered metrics have been handed to the socket. */
    readonly close: () => Promise<void>;
}

/** Fits an Ethernet frame, so a datagram is not fragmented. */
const maxDatagramBytes = 1_400;

/** Metrics are collected this long before a datagram is sent. */
const flushIntervalMs = 500;

export function createMetrics(opts: MetricsOptions): Metrics {
    if (opts.host === undefined) return { record: () => undefined, close: () => Promise.resolve() };
    const client = new StatsD({
        host: opts.host,
        port: opts.port ?? 8125,
        prefix: opts.prefix ?? "rhubarbwheel.",
        globalTags: { ...opts.tags },
        maxBufferSize: maxDatagramBytes,
        bufferFlushInterval: flushIntervalMs,
        errorHandler: error => opts.onError?.(error),
        includeDataDogTags: false,
        includeDatadogTelemetry: false,
        originDetection: false,
    });

    return {
        record: (name, value, tags = {}) => {
            if (!Number.isFinite(value)) return;
            try {
                const { type } = metricCatalogue[name];
                if (type === "counter") client.increment(name, value, { ...tags });
                else if (type === "gauge") client.gauge(name, value, { ...tags });
                else client.histogram(name, value, { ...tags });
            }
            catch (error) {
                opts.onError?.(error as Error);
            }
        },
        close: () => new Promise(resolve => client.close(() => resolve())),
    };
}
