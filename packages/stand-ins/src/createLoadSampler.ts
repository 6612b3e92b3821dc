/** Load reports of a target stand-in, taken from its latest load sample. */

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
    opts: { readonly getNow: () => number; readonly sampleIntervalMs: number; },
): LoadSampler {
    let sample = takeSample();
    let sampledAt = opts.getNow();
    const updateSample = (): void => {
        sample = takeSample();
        sampledAt = opts.getNow();
    };
    const timer = opts.sampleIntervalMs > 0 ? setInterval(updateSample, opts.sampleIntervalMs).unref() : undefined;
    return {
        read: () => {
            if (timer === undefined) updateSample();
            return { ...sample, sampledAgeMs: Math.max(0, Math.round(opts.getNow() - sampledAt)) };
        },
        close: () => clearInterval(timer),
    };
}
