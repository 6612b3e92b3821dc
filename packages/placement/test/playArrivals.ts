/** Plays seeded arrivals over several routers and targets, and measures how even the load of the targets is. */
import type { PoolSpec, TargetEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementRequest } from "@rhubarbwheel/types/placement";
import type { ChoiceRule } from "../src/computeTargetCost.js";
import { createPoolModel } from "../src/createPoolModel.js";
import type { Choice, PoolModel } from "../src/createPoolModel.js";
import { createPrefixCacheModel } from "../src/createPrefixCacheModel.js";
import { createTargets } from "./placementFixtures.js";

export interface Arrivals {
    readonly spec: PoolSpec;
    readonly targets: number;
    readonly slots: number;
    /** Routers that choose without knowing of each other; 1 is a coordinator. */
    readonly routers: number;
    /** Time after which a coordinator learns of starts, ends and reports; local placement learns of reports. */
    readonly delayMs: number;
    readonly isLocal: boolean;
    readonly perSecond: number;
    readonly durationMs: number;
    readonly isUnequal: boolean;
    readonly seed: number;
}

/** What a chooser may use; `targets` is the true state, which only an ideal chooser knows. */
export interface ChooserInput {
    readonly model: PoolModel;
    readonly router: number;
    readonly request: PlacementRequest;
    readonly candidates: readonly TargetEntry[];
    readonly targets: readonly PlayedTarget[];
    readonly now: number;
    readonly random: () => number;
    readonly choose: (candidates: readonly TargetEntry[]) => number;
}

export interface Chooser {
    readonly rule?: ChoiceRule;
    readonly choose: (input: ChooserInput) => number;
}

export interface PlayedTarget {
    readonly speed: number;
    readonly isNoisy: boolean;
    pace: number;
    busyUntil: number;
    running: number;
    waiting: number;
    requests: number;
    idleMs: number;
    readonly cache: ReturnType<typeof createPrefixCacheModel>;
    readonly slotFreeAt: number[];
}

/** Linear congruential generator. */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => (state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0) / 2 ** 32;
}

export function playArrivals(arrivals: Arrivals, chooser: Chooser) {
    const { spec, slots, delayMs, durationMs, isUnequal } = arrivals;
    const random = createRandom(arrivals.seed);
    const choiceRandom = createRandom(arrivals.seed + 1);
    const isEngine = spec.engine !== undefined;
    const candidates = createTargets(arrivals.targets, { slots, service: spec.service, failureDomain: "a" });
    const targets: PlayedTarget[] = candidates.map((_, index) => ({
        speed: (isEngine ? 100 : 1) * (isUnequal ? [0.5, 0.8, 1.2, 1.5][index % 4]! : 1),
        isNoisy: index % 3 === 0,
        pace: 1,
        busyUntil: 0,
        running: 0,
        waiting: 0,
        requests: 0,
        idleMs: 0,
        cache: createPrefixCacheModel(),
        slotFreeAt: Array<number>(slots).fill(0),
    }));
    const models = Array.from(
        { length: arrivals.routers },
        () => createPoolModel({ spec, priorPrefillRate: 100, rule: chooser.rule }),
    );
    const noticeDelayMs = arrivals.isLocal ? 0 : delayMs;
    const events: { readonly at: number; readonly run: () => void; }[] = [];
    const schedule = (at: number, run: () => void): void => {
        let low = 0;
        for (let high = events.length; low < high;) {
            const middle = (low + high) >>> 1;
            if (events[middle]!.at > at) low = middle + 1;
            else high = middle;
        }
        events.splice(low, 0, { at, run });
    };
    const firstByteMs: number[] = [];
    let now = 0;
    let longestQueue = 0;
    let reusedTokens = 0;
    let sharedTokens = 0;
    let loadRatioSum = 0;
    let samples = 0;
    let unplaced = 0;
    let totalMs = 0;

    const createPlayedRequest = (index: number): PlacementRequest => {
        const kind = Math.floor(random() * 3);
        const [promptTokens, outputTokens] = ([[12_000, 400], [800, 300], [2_400, 20]] as const)[kind]!;
        // A few shared parts are popular.
        const shared = { id: `s${kind}-${Math.floor(random() ** 2 * 60)}`, tokens: [5_400, 400, 1_200][kind]! };
        const own = { id: `own-${index}`, tokens: promptTokens - shared.tokens };
        return {
            requestId: `q${index}`,
            service: spec.service,
            prompt: isEngine ? { promptTokens, outputTokens, parts: [shared, own] } : undefined,
            latencyTargetMs: 600,
            waitedMs: 0,
            timeLeftMs: 15_000,
            failureDomain: "a",
            excluded: [],
        };
    };

    const arrive = (index: number): void => {
        const request = createPlayedRequest(index);
        const work = -Math.log(1 - random()) * 45;
        const router = index % arrivals.routers;
        const model = models[router]!;
        const loadFactor = arrivals.isLocal ? Math.min(4, arrivals.routers) : 1;
        const arrivedAt = now;
        let choice: Choice | undefined;
        const choose = (among: readonly TargetEntry[]): number => {
            choice = model.choose(request, {
                candidates: among,
                prefixSources: candidates,
                now,
                maxWaitMs: 10_000,
                loadFactor,
            });
            return candidates.findIndex(({ target }) => target === choice?.target);
        };
        const index_ = chooser.choose({
            model,
            router,
            request,
            candidates,
            targets,
            now,
            random: choiceRandom,
            choose,
        });
        if (index_ < 0) {
            unplaced += 1;
            return;
        }
        const target = targets[index_]!;
        const entry = candidates[index_]!;
        const { requestId, prompt } = request;
        const parts = prompt?.parts ?? [];
        const source = candidates.findIndex(candidate => candidate.target === choice?.prefixSource);
        // An engine copies what it does not have, in about 10 ms, from the source that the router names.
        const copied = source < 0 ? 0 : targets[source]!.cache.countPrefilledTokens(parts);
        const cached = Math.max(target.cache.countCachedTokens(parts), copied);
        const copyMs = copied > 0 && cached === copied ? 10 : 0;
        const newTokens = (prompt?.promptTokens ?? 0) - cached;
        sharedTokens += parts[0]?.tokens ?? 0;
        reusedTokens += cached;
        target.cache.pin(parts, 400_000);
        target.requests += 1;
        target.waiting += 1;
        model.assign(entry, {
            requestId,
            target: entry.target,
            promptTokens: prompt?.promptTokens ?? 0,
            outputTokens: prompt?.outputTokens ?? 0,
            newTokens: choice?.newTokens ?? newTokens,
            parts,
            assignedAt: now,
            expiresAt: Infinity,
        });
        const report = () => ({ running: target.running, waiting: target.waiting, slots, paceRatio: target.pace });
        const end = (): void => {
            const load = report();
            target.running -= 1;
            target.cache.setPrefilled(parts);
            target.cache.unpin(parts);
            if (!isEngine) firstByteMs.push(now - arrivedAt);
            totalMs += now - arrivedAt;
            const latencyMs = now - arrivedAt;
            schedule(now + delayMs, () => model.recordLoad(entry, { ...load, ageMs: delayMs }, now));
            schedule(now + noticeDelayMs, () => {
                model.end(requestId, "complete", latencyMs, now);
            });
        };
        const start = (): void => {
            target.waiting -= 1;
            target.running += 1;
            if (!isEngine) return schedule(now + work * target.pace / target.speed, end);
            firstByteMs.push(now - arrivedAt);
            const load = report();
            target.cache.setPrefilled(parts);
            schedule(now + delayMs, () => model.recordLoad(entry, { ...load, ageMs: delayMs }, now));
            schedule(now + noticeDelayMs, () => model.start(requestId, now));
            const stepMs = (3.4 + 0.07 * target.running) * target.pace * 100 / target.speed;
            schedule(now + stepMs * (prompt?.outputTokens ?? 0), end);
        };
        longestQueue = Math.max(longestQueue, isEngine ? target.waiting : target.waiting + target.running - slots);
        if (isEngine) {
            const slowdown = target.pace * (1 + 0.005 * target.running);
            target.busyUntil = Math.max(now, target.busyUntil) + newTokens / target.speed * slowdown;
            schedule(target.busyUntil + copyMs + 30, start);
            return;
        }
        const begin = (): void => {
            if (target.running >= slots) schedule(now + 1, begin);
            else start();
        };
        begin();
    };

    const sample = (): void => {
        const loads = targets.map(({ running, waiting }) => running + waiting);
        const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
        if (mean > 0 && now > 1_000) {
            loadRatioSum += Math.max(...loads) / mean;
            samples += 1;
        }
        const isQueued = targets.some(({ waiting }) => waiting > 1);
        for (const target of targets)
            if (isQueued && target.waiting + target.running * (isEngine ? 0 : 1) === 0) target.idleMs += 20;
        if (now < durationMs) schedule(now + 20, sample);
    };

    const changePace = (target: PlayedTarget): void => {
        target.pace = target.isNoisy ? [1, 1.3, 2, 3][Math.floor(random() * 4)]! : 0.95 + random() * 0.1;
        if (now < durationMs) schedule(now + 20 + random() * 300, () => changePace(target));
    };

    for (const target of targets) changePace(target);
    schedule(0, sample);
    for (let at = 0, index = 0; at < durationMs; index++) {
        at += -Math.log(1 - random()) * 1_000 / arrivals.perSecond;
        schedule(at, () => arrive(index));
    }
    for (let event = events.pop(); event !== undefined; event = events.pop()) {
        now = event.at;
        event.run();
    }
    firstByteMs.sort((left, right) => left - right);
    const getQuantile = (share: number): number => firstByteMs[Math.floor(share * firstByteMs.length)] ?? 0;
    return {
        longestQueue,
        busiestToMean: loadRatioSum / samples,
        idleMs: targets.reduce((sum, { idleMs }) => sum + idleMs, 0) / targets.length / durationMs * 1000,
        p50: getQuantile(0.5),
        p99: getQuantile(0.99),
        reused: sharedTokens === 0 ? 0 : reusedTokens / sharedTokens,
        requests: targets.reduce((sum, { requests }) => sum + requests, 0),
        unplaced,
        meanTotalMs: totalMs / firstByteMs.length,
    };
}
