/** Statistical trials of the verdict: bad versions that are completed, and good ones that are rolled back. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { runTrial, type TrialBehaviour, type TrialRequest, type TrialService } from "./runTrial.js";

const trialCount = Number(process.env["TRIALS"] ?? 200);

/** Rates and latencies of the services for which the error rates are claimed. */
const services: readonly (TrialService & { readonly name: string; })[] = [
    {
        name: "two routes, 183/s, 12 s",
        durationMs: 12_000,
        maxFirstPartMs: 4_000,
        routes: [
            { name: "a", perSecond: 149, firstPartMs: 250 },
            { name: "b", perSecond: 34, firstPartMs: 900 },
        ],
    },
    {
        name: "three routes, 933/s, 8 s",
        durationMs: 8_000,
        maxFirstPartMs: 2_400,
        routes: [
            { name: "a", perSecond: 429, firstPartMs: 50 },
            { name: "b", perSecond: 254, firstPartMs: 120 },
            { name: "c", perSecond: 250, firstPartMs: 400 },
        ],
    },
    {
        name: "two routes, 15/s, 60 s",
        durationMs: 60_000,
        maxFirstPartMs: 10_000,
        routes: [
            { name: "a", perSecond: 10, firstPartMs: 500 },
            { name: "b", perSecond: 5, firstPartMs: 2_000 },
        ],
    },
    {
        name: "two routes, 15/s, 8 s",
        durationMs: 8_000,
        maxFirstPartMs: 2_400,
        routes: [
            { name: "a", perSecond: 10, firstPartMs: 250 },
            { name: "b", perSecond: 5, firstPartMs: 900 },
        ],
    },
];

type Rate = (request: TrialRequest, episodeMs: number) => number;

function whenNew(rate: number, isBad: (request: TrialRequest) => boolean = () => true): Rate {
    return request => request.isNewVersion && isBad(request) ? rate : 0;
}

const isInEpisode = (request: TrialRequest, episodeMs: number): boolean =>
    request.elapsedMs >= episodeMs && request.elapsedMs < episodeMs + 2_000;

const badKinds: Readonly<Record<string, (service: TrialService) => TrialBehaviour>> = {
    "30% failures": () => ({ failureRate: whenNew(0.3) }),
    "10% failures": () => ({ failureRate: whenNew(0.1) }),
    "40% 4 times slower": () => ({ slowRate: whenNew(0.4) }),
    "30% failures on route b only": () => ({ failureRate: whenNew(0.3, ({ route }) => route === "b") }),
    "40% 4 times slower on route b only": () => ({ slowRate: whenNew(0.4, ({ route }) => route === "b") }),
    "30% failures after 40% of the time": ({ durationMs }) => ({
        failureRate: whenNew(0.3, ({ elapsedMs }) => elapsedMs > 0.4 * durationMs),
    }),
    "30% failures under load": () => ({ failureRate: whenNew(0.3, ({ load }) => load > 0.9) }),
};

const goodKinds: Readonly<Record<string, (service: TrialService) => TrialBehaviour>> = {
    healthy: () => ({}),
    "1% failures in both": () => ({ failureRate: () => 0.01 }),
    "20% failures in both": () => ({ failureRate: () => 0.2 }),
    "both slow for 2 s": () => ({ slowRate: (request, episodeMs) => isInEpisode(request, episodeMs) ? 1 : 0 }),
    "new targets cold for 3 s": () => ({ coldMs: 3_000 }),
};

function runTrials(kind: string, behave: (service: TrialService) => TrialBehaviour, service: typeof services[number]) {
    const results = Array.from({ length: trialCount }, (_, seed) => runTrial(service, behave(service), seed));
    const completed = results.filter(({ end }) => end === "completed").length;
    const rolledBack = results.filter(({ end }) => end === "rolledBack").length;
    if (process.env["PRINT"] !== undefined) {
        const reasons: Record<string, number> = {};
        for (const { reason, end } of results) reasons[`${end}/${reason}`] = (reasons[`${end}/${reason}`] ?? 0) + 1;
        const over = results.filter(({ overExposure }) => overExposure > 0).length;
        const worst = Math.round(Math.max(...results.map(({ overExposure }) => overExposure)));
        const times = results.map(({ endMs }) => endMs).sort((left, right) => left - right);
        console.log(
            `| ${service.name} | ${kind} | ${completed} | ${rolledBack} | ${times[Math.floor(times.length / 2)]}`
                + ` | ${times.at(-1)} | ${over} (${worst}) | ${JSON.stringify(reasons)}`,
        );
    }
    return { completed, rolledBack };
}

for (const service of services) {
    // Guards against a bad version that callers get for good.
    for (const [kind, behave] of Object.entries(badKinds)) {
        test(`bad version, ${kind}: ${service.name}`, () => {
            assert.equal(runTrials(kind, behave, service), { completed: 0, rolledBack: trialCount });
        });
    }

    // Guards against operators whose good versions are rolled back.
    for (const [kind, behave] of Object.entries(goodKinds)) {
        test(`good version, ${kind}: ${service.name}`, () => {
            const { completed, rolledBack } = runTrials(kind, behave, service);
            assert.ok(rolledBack <= 1 && completed + rolledBack === trialCount, `${completed}, ${rolledBack}`);
        });
    }
}

test.run();
