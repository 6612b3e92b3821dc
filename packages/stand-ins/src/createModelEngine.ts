/** Model engine with continuous batching: each step generates one token for every sequence in the batch. */

export interface EngineSettings {
    readonly maxBatch: number;
    /** Step time = `tokenBaseMs` + `tokenSlopeMs` x sequences in the batch. */
    readonly tokenBaseMs: number;
    readonly tokenSlopeMs: number;
    readonly prefillMsPerToken: number;
}

export interface SequenceOptions {
    /** Uncached prompt tokens. */
    readonly prefillTokens: number;
    readonly outputTokens: number;
    /** Output tokens that were generated before the stream was resumed. */
    readonly generatedTokens: number;
    readonly onToken: (index: number) => void;
    readonly onDone: () => void;
}

export interface ModelEngine {
    /** Adds a sequence to the FIFO queue; the returned function cancels it. */
    readonly submit: (opts: SequenceOptions) => () => void;
    readonly countRunning: () => number;
    readonly countQueued: () => number;
    /** Discards all sequences, as a crash does. */
    readonly clear: () => void;
}

interface Sequence {
    readonly opts: SequenceOptions;
    generatedTokens: number;
    /** Time at which prefill completes. */
    prefillDoneAt: number;
    ended: boolean;
}

/** Maximum number of overdue steps run at once after a delay of the process; the others are skipped. */
const maxCatchUpSteps = 20;

export function createModelEngine(settings: EngineSettings, opts: { readonly getNow: () => number; }): ModelEngine {
    let queue: Sequence[] = [];
    let batch: Sequence[] = [];
    let timer: NodeJS.Timeout | undefined;
    let nextStepAt = 0;

    const getStepMs = (): number => settings.tokenBaseMs + settings.tokenSlopeMs * batch.length;

    const admitQueued = (now: number): void => {
        while (batch.length < settings.maxBatch) {
            const sequence = queue.shift();
            if (sequence === undefined) return;
            sequence.prefillDoneAt = now + sequence.opts.prefillTokens * settings.prefillMsPerToken;
            batch.push(sequence);
        }
    };

    const generateToken = (sequence: Sequence): void => {
        if (sequence.generatedTokens < sequence.opts.outputTokens) sequence.opts.onToken(sequence.generatedTokens);
        sequence.generatedTokens += 1;
    };

    const runStep = (now: number): void => {
        // Callbacks may cancel any sequence, including the current one.
        for (const sequence of batch) {
            if (sequence.ended || sequence.prefillDoneAt > now) continue;
            generateToken(sequence);
            if (sequence.ended || sequence.generatedTokens < sequence.opts.outputTokens) continue;
            sequence.ended = true;
            sequence.opts.onDone();
        }
        batch = batch.filter(sequence => !sequence.ended);
        admitQueued(now);
    };

    const runDueSteps = (): void => {
        timer = undefined;
        const now = opts.getNow();
        for (let step = 0; step < maxCatchUpSteps && nextStepAt <= now && batch.length > 0; step += 1) {
            runStep(now);
            nextStepAt += getStepMs();
        }
        if (nextStepAt <= now) nextStepAt = now + getStepMs();
        scheduleStep();
    };

    const scheduleStep = (): void => {
        if (timer !== undefined || batch.length === 0) return;
        timer = setTimeout(runDueSteps, Math.max(0, nextStepAt - opts.getNow()));
    };

    return {
        submit: sequenceOptions => {
            const sequence = {
                opts: sequenceOptions,
                generatedTokens: sequenceOptions.generatedTokens,
                prefillDoneAt: 0,
                ended: false,
            };
            queue.push(sequence);
            const now = opts.getNow();
            const wasIdle = batch.length === 0;
            admitQueued(now);
            if (wasIdle) nextStepAt = now + getStepMs();
            scheduleStep();
            return () => {
                sequence.ended = true;
                queue = queue.filter(other => other !== sequence);
                batch = batch.filter(other => other !== sequence);
                admitQueued(opts.getNow());
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
