/** Runs a schedule of faults and accepted changes on a simulated fleet, and returns all violations of guarantees. */
import type { FakeRouter } from "@rhubarbwheel/membership/test/createFakeFleet";
import type { StoreMode } from "@rhubarbwheel/membership/test/createFakeStore";

import { createFleet, type RouterSlices } from "./createRouterSlices.js";

export type Step =
    & { readonly waitMs: number; readonly pick: number; }
    & (
        | { readonly type: "accept"; }
        | { readonly type: "restart"; }
        | { readonly type: "heal"; }
        | { readonly type: "partition"; readonly size: number; }
        | { readonly type: "pause"; readonly durationMs: number; }
        | { readonly type: "network"; readonly loss: number; readonly delayMs: number; readonly duplication: number; }
        | { readonly type: "store"; readonly mode: StoreMode; readonly scope: "all" | "group"; }
    );

interface Accepted {
    readonly name: string;
    readonly version: number;
    readonly at: number;
}

const routerCount = 9;
const domainCount = 3;
/** Maximum time in which an accepted change takes effect (guarantee G4). */
const maxChangeDelayMs = 3_000;
/** Time after the end of all faults in which routers rejoin, catch up and become fresh. */
const recoveryMs = 12_000;

export function runSchedule(seed: number, steps: readonly Step[]): readonly string[] {
    const fleet = createFleet(seed, routerCount, domainCount);
    const names = [...fleet.routers.keys()];
    const violations = new Set<string>();
    const accepted: Accepted[] = [];
    const versions = new Map<FakeRouter<RouterSlices>, Map<string, number>>();
    let group = new Set<string>();
    let storeFaultAt = -Infinity;

    const observe = () => {
        for (const router of fleet.routers.values()) {
            const { identity, slices: { configuration } } = router;
            const appliedVersions = versions.get(router) ?? new Map<string, number>();
            versions.set(router, appliedVersions);
            for (const { name, version } of configuration.listResources("failuredomains")) {
                if (version < (appliedVersions.get(name) ?? 0)) violations.add(`version of ${name} decreased`);
                appliedVersions.set(name, version);
            }
            if (router.pausedUntil > fleet.getTime() || configuration.getFreshness() !== "fresh") continue;
            for (const { name, version, at } of accepted) {
                const ageMs = fleet.getTime() - at;
                if (ageMs > maxChangeDelayMs && (appliedVersions.get(name) ?? 0) < version)
                    violations.add(`${identity.router} is fresh without ${name} version ${version}, accepted at ${at}`);
            }
        }
    };
    const advance = (durationMs: number) => {
        for (let elapsed = 0; elapsed < durationMs; elapsed += 100) {
            fleet.advance(100);
            observe();
        }
    };
    /** The documented undecidable case: the router is in a minority that may be the only part able to write. */
    const isUndecidable = (name: string) => {
        const reachable = names.filter(other => group.has(other) === group.has(name));
        return group.size > 0 && reachable.length <= routerCount / 2
            && fleet.getTime() - storeFaultAt < maxChangeDelayMs;
    };
    const accept = (pick: number) => {
        const router = fleet.routers.get(names[pick % routerCount] as string) as FakeRouter<RouterSlices>;
        const name = router.identity.router;
        const mode = fleet.faults.getStoreMode(name);
        if ((mode !== "up" && mode !== "slow") || router.pausedUntil > fleet.getTime() || isUndecidable(name)) return;
        const state = pick % 2 === 0 ? "out" : "in";
        const { version } = fleet.accept("failuredomains", `domain-${pick % domainCount}`, { state }, router);
        accepted.push({ name: `domain-${pick % domainCount}`, version, at: fleet.getTime() });
    };
    const setStoreMode = (mode: StoreMode, scope: "all" | "group") => {
        const affected = scope === "all" ? new Set(names) : new Set(group);
        const previous = fleet.faults.getStoreMode;
        fleet.faults.getStoreMode = name => affected.has(name) ? mode : previous(name);
    };
    const setNetwork = (loss: number, maxDelayMs: number, duplication: number) =>
        Object.assign(fleet.faults, { loss, maxDelayMs, duplication });
    const splitFleet = (first: number, size: number) => {
        group = new Set(names.filter((_, index) => (index + first) % routerCount < size));
    };
    const hasStoreFault = () => names.some(name => fleet.faults.getStoreMode(name) !== "up");
    const run = (step: Step) => {
        const name = names[step.pick % routerCount] as string;
        const router = fleet.routers.get(name) as FakeRouter<RouterSlices>;
        if (hasStoreFault()) storeFaultAt = fleet.getTime();
        if (step.type === "accept") accept(step.pick);
        else if (step.type === "restart") fleet.start(name);
        else if (step.type === "pause") router.pausedUntil = fleet.getTime() + step.durationMs;
        else if (step.type === "store") setStoreMode(step.mode, step.scope);
        else if (step.type === "heal") group = new Set();
        else if (step.type === "partition") splitFleet(step.pick, step.size);
        else if (step.type === "network") setNetwork(step.loss, step.delayMs, step.duplication);
        if (hasStoreFault()) storeFaultAt = fleet.getTime();
    };

    fleet.faults.isLinkDown = (from, to) => group.has(from) !== group.has(to);
    advance(4_000);
    for (const step of steps) {
        run(step);
        advance(step.waitMs);
    }
    group = new Set();
    fleet.faults.getStoreMode = () => "up";
    setNetwork(0, 5, 0);
    advance(recoveryMs);
    for (const { identity, slices: { configuration } } of fleet.routers.values()) {
        if (configuration.getFreshness() !== "fresh")
            violations.add(`${identity.router} is not fresh after the faults`);
        for (const { name, version } of accepted) {
            const held = configuration.listResources("failuredomains").find(resource => resource.name === name);
            if ((held?.version ?? 0) < version)
                violations.add(`${identity.router} lacks ${name} version ${version} after the faults`);
        }
    }
    return [...violations];
}
