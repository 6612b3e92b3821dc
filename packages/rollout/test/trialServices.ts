/** Services of the trials: the least and greatest rates that a service has, and a small route beside a large one. */
import type { TrialService } from "./runTrial.js";

export const highRateService: TrialService = {
    name: "three routes, 933/s, 8 s",
    durationMs: 8_000,
    maxFirstPartMs: 2_400,
    kindsOverBound: [],
    routes: [
        { name: "a", perSecond: 429, firstPartMs: 50 },
        { name: "b", perSecond: 254, firstPartMs: 120 },
        { name: "c", perSecond: 250, firstPartMs: 400 },
    ],
};

export const smallRouteService: TrialService = {
    name: "two routes, 183/s, 12 s",
    durationMs: 12_000,
    maxFirstPartMs: 3_500,
    kindsOverBound: [
        "30% failures on route b only",
        "30% failures under load",
        "30% failures under load, only after the shift",
    ],
    routes: [
        { name: "a", perSecond: 149, firstPartMs: 250 },
        { name: "b", perSecond: 34, firstPartMs: 900 },
    ],
};

export const longRolloutService: TrialService = {
    name: "two routes, 15/s, 60 s",
    durationMs: 60_000,
    maxFirstPartMs: 10_000,
    kindsOverBound: [
        "10% failures",
        "40% 4 times slower",
        "30% failures on route b only",
        "30% failures under load, only after the shift",
    ],
    routes: [
        { name: "a", perSecond: 10, firstPartMs: 500 },
        { name: "b", perSecond: 5, firstPartMs: 2_000 },
    ],
};

export const fewRequestsService: TrialService = {
    name: "two routes, 15/s, 8 s",
    durationMs: 8_000,
    maxFirstPartMs: 2_400,
    kindsOverBound: [
        "10% failures",
        "40% 4 times slower",
        "30% failures on route b only",
        "30% failures under load, only after the shift",
    ],
    routes: [
        { name: "a", perSecond: 10, firstPartMs: 250 },
        { name: "b", perSecond: 5, firstPartMs: 900 },
    ],
};
