/** StatsD metrics over UDP, based on hot-shots. Sending is best effort: no function throws. */
import { StatsD } from "hot-shots";
import type { MetricName } from "./metricCatalogue.js";
import { metricCatalogue } from "./metricCatalogue.js";

export interface MetricsOptions {
    /** IP address of the StatsD server. Without it, no metrics are sent. */
    readonly host?: string;
    readonly port?: number;
    /** Default `rhubarbwheel.`. */
    readonly prefix?: string;
    /** Tags of every metric. */
    readonly tags?: Readonly<Record<string, string>>;
    /** Called with errors of the socket, and with errors thrown while a metric is recorded. */
    readonly onError?: (error: Error) => void;
}

export interface Metrics {
    /** Increments a counter, sets a gauge or records a value in a histogram, by the type in the catalogue. */
    readonly record: (name: MetricName, value: number, tags?: Readonly<Record<string, string>>) => void;
    /** Resolves when buffered metrics have been handed to the socket. */
    readonly close: () => Promise<void>;
}

/** Fits into an Ethernet frame, so that datagrams are not fragmented. */
const maxDatagramBytes = 1_400;

/** Maximum time for which metrics are buffered before a datagram is sent. */
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
