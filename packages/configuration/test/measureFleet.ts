/**
 * Prints times, message rates and rates of store requests of simulated fleets; run with
 * `node packages/configuration/lib/test/measureFleet.js`. Times are on the fake clock, with one-way delays of 0 to
 * 5 ms, and depend only on the seeds. CPU time includes the simulated network, so it is an upper bound for the two
 * slices.
 */
import type { StoreMode } from "@rhubarbwheel/membership/test/createFakeStore";

import { createFleet } from "./createRouterSlices.js";

type Fleet = ReturnType<typeof createFleet>;

const seeds = Array.from({ length: 10 }, (_, index) => index + 1);
const list = (fleet: Fleet) => [...fleet.routers.values()];
const isComplete = (fleet: Fleet) =>
    list(fleet).every(({ slices }) => slices.membership.countListedAlive() === list(fleet).length);
const isFresh = (fleet: Fleet, name: string) =>
    fleet.routers.get(name)?.slices.configuration.getFreshness() === "fresh";

function measure(fleet: Fleet, isReached: () => boolean): number {
    const from = fleet.getTime();
    while (!isReached() && fleet.getTime() - from < 60_000) fleet.advance(10);
    return fleet.getTime() - from;
}

function printTimes(label: string, times: readonly number[]) {
    const sorted = [...times].sort((left, right) => left - right);
    const median = sorted[Math.floor(sorted.length / 2)];
    console.log(`${label}: median ${median} ms, max ${sorted.at(-1)} ms, ${sorted.length} runs`);
}

/** Runs the action on a started fleet for each seed, and prints the times in ms that it returns. */
function runEach(label: string, count: number, domains: number, action: (fleet: Fleet, seed: number) => number) {
    printTimes(
        `${count} routers, ${domains} domains, ${label}`,
        seeds.map(seed => {
            const fleet = createFleet(seed, count, domains);
            fleet.advance(8_000 + 37 * seed);
            return action(fleet, seed);
        }),
    );
}

function measureTimes(count: number, domains: number) {
    runEach("start until membership is complete", count, domains, (_, seed) => {
        const fleet = createFleet(seed, count, domains);
        return measure(fleet, () => isComplete(fleet));
    });
    runEach("killed until declared dead everywhere", count, domains, fleet => {
        const killed = list(fleet)[2] as ReturnType<typeof list>[number];
        killed.up = false;
        const others = list(fleet).filter(router => router !== killed);
        const name = killed.identity.router;
        return measure(fleet, () => others.every(({ slices }) => slices.membership.getMember(name)?.state === "dead"));
    });
    runEach("restarted until fresh", count, domains, fleet => {
        fleet.start("router-2");
        return measure(fleet, () => isFresh(fleet, "router-2"));
    });
    runEach("partition of 30 s healed until membership is complete", count, domains, fleet => {
        fleet.faults.isLinkDown = (from, to) => from < "router-3" !== to < "router-3";
        fleet.advance(30_000);
        fleet.faults.isLinkDown = () => false;
        return measure(fleet, () => isComplete(fleet));
    });
    for (const loss of [0, 0.1]) {
        runEach(`change accepted until applied everywhere, loss ${loss}`, count, domains, fleet => {
            fleet.faults.loss = loss;
            const { revision } = fleet.accept("failuredomains", "domain-0", { state: "out" });
            return measure(
                fleet,
                () => list(fleet).every(({ slices }) => slices.configuration.getRevision() >= revision),
            );
        });
    }
    runEach("partitioned until stale", count, domains, fleet => {
        fleet.faults.getStoreMode = name => name === "router-1" ? "down" : "up";
        fleet.faults.isLinkDown = (from, to) => from === "router-1" || to === "router-1";
        return measure(fleet, () => !isFresh(fleet, "router-1"));
    });
}

function measureRates(count: number, domains: number, mode: StoreMode) {
    const fleet = createFleet(1, count, domains);
    fleet.advance(20_000);
    fleet.faults.getStoreMode = () => mode;
    fleet.advance(5_000);
    list(fleet).forEach(router => void (router.sent = 0));
    const countsBefore = { ...fleet.store.requestCounts };
    const cpuBefore = process.cpuUsage();
    let staleMs = 0;
    let maxAgeMs = 0;
    for (let elapsed = 0; elapsed < 20_000; elapsed += 100) {
        fleet.advance(100);
        for (const { slices: { configuration }, clockOffset } of list(fleet)) {
            if (configuration.getFreshness() !== "fresh") staleMs += 100;
            const ageMs = configuration.getDigest(fleet.getTime() + clockOffset).confirmedAgeMs ?? Infinity;
            maxAgeMs = Math.max(maxAgeMs, Math.round(ageMs));
        }
    }
    const cpu = process.cpuUsage(cpuBefore);
    const sent = list(fleet).map(router => router.sent / 20);
    const requestRates = Object.entries(fleet.store.requestCounts).map(([name, total]) =>
        `${name} ${(total - countsBefore[name as keyof typeof countsBefore]) / 20}/s`
    );
    console.log(
        `${count} routers, ${domains} domains, store ${mode}: sent per router mean `
            + `${(sent.reduce((sum, rate) => sum + rate, 0) / count).toFixed(1)}/s max ${Math.max(...sent)}/s; `
            + `${requestRates.join(", ")}; stale ${staleMs} ms; max age of store confirmation ${maxAgeMs} ms; `
            + `CPU ${((cpu.user + cpu.system) / 1e6 / 20 / count * 100).toFixed(2)}% of a core per router`,
    );
}

const sizes = [[16, 4], [19, 3]] as const;
for (const [count, domains] of sizes) measureTimes(count, domains);
for (const [count, domains] of sizes)
    for (const mode of ["up", "down", "hung", "slow", "responseLost"] as const) measureRates(count, domains, mode);
for (const [count, domains] of [[64, 4], [120, 6], [220, 2]] as const)
    for (const mode of ["up", "down"] as const) measureRates(count, domains, mode);
