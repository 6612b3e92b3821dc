/** Measures the service that the callers of each workspace receive, and the gap between workspaces. */

export interface MeteredWorkspace {
    readonly name: string;
    readonly share: number;
}

export interface ServiceSample {
    readonly atMs: number;
    /** Service divided by share, in the order of the workspaces. */
    readonly normalized: readonly number[];
}

export function createServiceMeter(workspaces: readonly MeteredWorkspace[]) {
    const received = new Map(workspaces.map(workspace => [workspace.name, 0]));
    const samples: ServiceSample[] = [];
    return {
        add: (workspace: string, cost: number) => {
            received.set(workspace, (received.get(workspace) ?? 0) + cost);
        },
        sample: (atMs: number) => {
            const normalized = workspaces.map(({ name, share }) => (received.get(name) ?? 0) / share);
            samples.push({ atMs, normalized });
        },
        getReceived: () => new Map(received),
        listSamples: (): readonly ServiceSample[] => samples,
    };
}

/** Maximum difference between two workspaces in any sample, each relative to the first sample. */
export function computeGap(samples: readonly ServiceSample[]): number {
    const baseline = samples[0]?.normalized ?? [];
    const spreads = samples.map(({ normalized }) => {
        const growth = normalized.map((value, index) => value - (baseline[index] ?? 0));
        return Math.max(...growth) - Math.min(...growth);
    });
    return Math.max(0, ...spreads);
}
