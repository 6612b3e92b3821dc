/** Names, types and units of the metrics. `docs/metrics.md` is made from this file. */

export interface MetricKind {
    /** `counter` adds up, `gauge` keeps the last value, `histogram` collects a distribution. */
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
            "Service charged to a workspace at this router: input tokens + 2 x output tokens, or cost per call.",
    },
    "workspace.queued": {
        type: "gauge",
        unit: "requests",
        tags: ["pool", "workspace"],
        description: "Requests of a workspace that wait at this router.",
    },
    "pool.fairness_gap": {
        type: "gauge",
        unit: "cost / share",
        tags: ["pool"],
        description: "Greatest difference of virtual time between two backlogged workspaces, at the coordinator.",
    },
    "pool.utilisation": {
        type: "gauge",
        unit: "ratio",
        tags: ["pool"],
        description: "Granted slots divided by the limits of the targets, at the coordinator.",
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
        description: "Slots of a target that are granted, at the coordinator.",
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
        description: "Attempts after the first of a request, resumed streams included.",
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
        description: "Time from the arrival of a request to the first byte of its answer.",
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
        description: "Store revision up to which this router holds every change.",
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
        description: "Calls to the platform's object API; a pending watch counts as one.",
    },
    "members.alive": {
        type: "gauge",
        unit: "routers",
        tags: [],
        description: "Routers that this router considers alive, itself included.",
    },
} as const satisfies Readonly<Record<string, MetricKind>>;

export type MetricName = keyof typeof metricCatalogue;

/** Renders the page `docs/metrics.md`. */
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
listed. Metrics of a pool marked "at the coordinator" come from one router at a time. This page is made from
\`packages/telemetry/src/metricCatalogue.ts\` by \`npm run generate:docs -w @rhubarbwheel/telemetry\`.

`;
