/** Catalogue of the StatsD metrics. `docs/metrics.md` is generated from this file. */

export interface MetricKind {
    /** A `counter` is a sum, a `gauge` the last value, a `histogram` a distribution. */
    readonly type: "counter" | "gauge" | "histogram";
    readonly unit: string;
    readonly tags: readonly string[];
    readonly description: string;
}

export const metricCatalogue = {
    "workspace.service": {
        type: "counter",
        unit: "cost",
        tags: ["pool", "workspace"],
        description:
            "Cost charged to a workspace at this router: input tokens + 2 x output tokens, or the cost per call.",
    },
    "workspace.queued": {
        type: "gauge",
        unit: "requests",
        tags: ["pool", "workspace"],
        description: "Requests of a workspace that are queued at this router.",
    },
    "pool.fairness_gap": {
        type: "gauge",
        unit: "cost / share",
        tags: ["pool"],
        description: "Maximum difference in virtual time between two backlogged workspaces, at the coordinator.",
    },
    "pool.utilisation": {
        type: "gauge",
        unit: "ratio",
        tags: ["pool"],
        description: "Granted slots divided by the sum of the target limits, at the coordinator.",
    },
    "pool.limit": {
        type: "gauge",
        unit: "slots",
        tags: ["pool", "target"],
        description: "Current limit of a target, at the coordinator.",
    },
    "pool.held": {
        type: "gauge",
        unit: "slots",
        tags: ["pool", "target"],
        description: "Granted slots of a target, at the coordinator.",
    },
    "queue.age": {
        type: "histogram",
        unit: "ms",
        tags: ["pool"],
        description: "Time from the arrival of a request to its first attempt.",
    },
    "request.outcomes": {
        type: "counter",
        unit: "requests",
        tags: ["pool", "outcome"],
        description: "Requests that ended, by outcome `complete`, `notRun` or `unknown`.",
    },
    "request.retries": {
        type: "counter",
        unit: "attempts",
        tags: ["pool"],
        description: "Attempts after the first one of a request, including resumed streams.",
    },
    "request.duration": {
        type: "histogram",
        unit: "ms",
        tags: ["pool"],
        description: "Time from the arrival of a request to its end.",
    },
    "request.first_byte": {
        type: "histogram",
        unit: "ms",
        tags: ["pool"],
        description: "Time from the arrival of a request to the first byte of its response.",
    },
    "control.messages": {
        type: "counter",
        unit: "messages",
        tags: [],
        description: "Messages between routers, sent and received.",
    },
    "control.bytes": {
        type: "counter",
        unit: "bytes",
        tags: [],
        description: "Bytes of batches between routers, sent and received, without framing.",
    },
    "control.streams": {
        type: "gauge",
        unit: "streams",
        tags: [],
        description: "Open streams to other routers.",
    },
    "configuration.revision": {
        type: "gauge",
        unit: "revision",
        tags: [],
        description: "Store revision up to which this router has all changes.",
    },
    "configuration.age": {
        type: "gauge",
        unit: "ms",
        tags: [],
        description: "Time since the configuration was last confirmed.",
    },
    "platform.calls": {
        type: "counter",
        unit: "calls",
        tags: [],
        description: "Requests to the platform's object API; a pending watch counts as one.",
    },
    "members.alive": {
        type: "gauge",
        unit: "routers",
        tags: [],
        description: "Routers that this router considers alive, including itself.",
    },
} as const satisfies Readonly<Record<string, MetricKind>>;

export type MetricName = keyof typeof metricCatalogue;

/** Renders `docs/metrics.md`. */
export function renderMetricCatalogue(): string {
    const rows = Object.entries<MetricKind>(metricCatalogue).map(([name, kind]) => {
        const tags = kind.tags.map(tag => `\`${tag}\``).join(", ");
        return `| \`${name}\` | ${kind.type} | ${kind.unit} | ${tags} | ${kind.description} |\n`;
    });
    return `${introduction}| name | type | unit | tags | meaning |\n|---|---|---|---|---|\n${rows.join("")}`;
}

const introduction = `# Metrics

With \`--statsd host:port\` a router sends its metrics as StatsD datagrams over UDP; without it, it sends none. Each name
is prefixed with \`rhubarbwheel.\`, and each metric has the tags \`router\` and \`failure_domain\` in addition to those
listed. Pool metrics marked "at the coordinator" are sent by one router at a time. This page is generated from
\`packages/telemetry/src/metricCatalogue.ts\` by \`npm run generate:docs -w @rhubarbwheel/telemetry\`.

On the users' platform a router serves its metrics as text instead (\`GET /metrics\`; names begin with
\`rhubarbwheel_\`, the text describes each). Two of them show uneven load, by service, at the coordinator of the pool:
\`rhubarbwheel_pool_busiest_ratio\` (requests at the busiest target divided by the mean) and
\`rhubarbwheel_pool_busiest_pace\` (time that work takes on that target's host; 1 is the usual time).

`;
