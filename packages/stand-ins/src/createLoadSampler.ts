/** Load reports of a target stand-in, which show the state as of the last sample. */

export interface LoadSample {
    readonly startId: string;
    readonly running: number;
    readonly queued: number;
}

export interface LoadSampler {
    readonly read: () => LoadSample & { readonly sampledAgeMs: number; };
    readonly close: () => void;
}

export function createLoadSampler(
    takeSample: () => LoadSample,
    opts: { readonly clock: () => number; readonly lagMs: number; },
): LoadSampler {
    let sample = takeSample();
    let sampledAt = opts.clock();
    const refresh = (): void => {
        sample = takeSample();
        sampledAt = opts.clock();
    };
    const timer = opts.lagMs > 0 ? setInterval(refresh, opts.lagMs).unref() : undefined;
    return {
        read: () => {
            if (timer === undefined) refresh();
            return { ...sample, sampledAgeMs: Math.max(0, Math.round(opts.clock() - sampledAt)) };
        },
        close: () => clearInterval(timer),
    };
}
