/** Continuous batching: every step produces one token for each sequence in the batch. */

export interface EngineSettings {
    readonly maxBatch: number;
    /** Step time = base + slope x sequences in the batch. */
    readonly tokenBaseMs: number;
    readonly tokenSlopeMs: number;
    readonly prefillMsPerToken: number;
}

export interface SequenceOptions {
    /** Prompt tokens that are not in the prefix cache. */
    readonly prefillTokens: number;
    readonly outputTokens: number;
    /** Output tokens that exist already, when a stream is resumed. */
    readonly finishedTokens: number;
    readonly onToken: (index: number) => void;
    readonly onDone: () => void;
}

export interface ModelEngine {
    /** Queues a sequence in order of arrival; the returned function cancels it. */
    readonly submit: (opts: SequenceOptions) => () => void;
    readonly countRunning: () => number;
    readonly countQueued: () => number;
    /** Forgets every sequence, as at a crash. */
    readonly clear: () => void;
}

interface Sequence {
    readonly opts: SequenceOptions;
    produced: number;
    /** Time at which the prefill is done. */
    readyAt: number;
    ended: boolean;
}

/** Most steps caught up at once after the process was slow; later ones are forgotten. */
const maxStepsAtOnce = 20;

export function createModelEngine(settings: EngineSettings, opts: { readonly clock: () => number; }): ModelEngine {
    let queue: Sequence[] = [];
    let batch: Sequence[] = [];
    let timer: NodeJS.Timeout | undefined;
    let nextStepAt = 0;

    const getStepMs = (): number => settings.tokenBaseMs + settings.tokenSlopeMs * batch.length;

    const admitQueued = (now: number): void => {
        while (batch.length < settings.maxBatch) {
            const sequence = queue.shift();
            if (sequence === undefined) return;
            sequence.readyAt = now + sequence.opts.prefillTokens * settings.prefillMsPerToken;
            batch.push(sequence);
        }
    };

    const stepSequence = (sequence: Sequence): void => {
        if (sequence.produced < sequence.opts.outputTokens) sequence.opts.onToken(sequence.produced);
        sequence.produced += 1;
    };

    const runStep = (now: number): void => {
        // Handlers may cancel sequences, this one included.
        for (const sequence of batch) {
            if (sequence.ended || sequence.readyAt > now) continue;
            stepSequence(sequence);
            if (sequence.ended || sequence.produced < sequence.opts.outputTokens) continue;
            sequence.ended = true;
            sequence.opts.onDone();
        }
        batch = batch.filter(sequence => !sequence.ended);
        admitQueued(now);
    };

    const runDueSteps = (): void => {
        timer = undefined;
        const now = opts.clock();
        for (let step = 0; step < maxStepsAtOnce && nextStepAt <= now && batch.length > 0; step += 1) {
            runStep(now);
            nextStepAt += getStepMs();
        }
        if (nextStepAt <= now) nextStepAt = now + getStepMs();
        scheduleStep();
    };

    const scheduleStep = (): void => {
        if (timer !== undefined || batch.length === 0) return;
        timer = setTimeout(runDueSteps, Math.max(0, nextStepAt - opts.clock()));
    };

    return {
        submit: sequenceOptions => {
            const sequence = {
                opts: sequenceOptions,
                produced: sequenceOptions.finishedTokens,
                readyAt: 0,
                ended: false,
            };
            queue.push(sequence);
            const now = opts.clock();
            const wasIdle = batch.length === 0;
            admitQueued(now);
            if (wasIdle) nextStepAt = now + getStepMs();
            scheduleStep();
            return () => {
                sequence.ended = true;
                queue = queue.filter(other => other !== sequence);
                batch = batch.filter(other => other !== sequence);
                admitQueued(opts.clock());
                scheduleStep();
            };
        },
        countRunning: () => batch.length,
        countQueued: () => queue.length,
        clear: () => {
            clearTimeout(timer);
            timer = undefined;
            queue = [];
            batch = [];
        },
    };
}
