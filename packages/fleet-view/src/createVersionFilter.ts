/**
 * Decides which versions of a service may be used, from the orders to roll out versions and from the versions of the
 * registered targets.
 */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import type { RolloutEntry } from "@rhubarbwheel/types/rollout";
import { getOwnStatus, getRunningPhase, isSameOrder, listForbiddenVersions } from "./rolloutOrders.js";

export interface VersionFilterOptions {
    /** Time for which an unknown version is held back: an order for it must have arrived within this time. */
    readonly getHoldMs: () => number;
}

/**
 * `canary`: gets only what the coordinator grants. `held`: no order allows it yet, so that it is used only while the
 * service has no usable version. `forbidden`: it was replaced or rolled back.
 */
export type VersionUse = "usable" | "canary" | "held" | "forbidden";

interface VersionState {
    /** Time until which the version is held back without an order for it. */
    readonly heldUntil: number;
    /** Number of targets in state `ready`. */
    readyCount: number;
    isForbidden: boolean;
}

interface ServiceState {
    /** Versions of the registered targets. */
    versions: Map<string, VersionState>;
    order?: RolloutEntry;
}

/** A version that is held back from now on. */
export interface HeldVersion {
    readonly service: string;
    readonly version: string;
}

/** Targets without a version count as one version of their own. */
export function getVersion(target: Pick<TargetEntry, "version">): string {
    return target.version ?? "";
}

/** The version with the oldest target: of several that are seen at once, it is the one in use. */
function findOldestVersion(targets: readonly TargetEntry[]): string {
    const getStart = ({ startedAtUnixMs }: TargetEntry): number => startedAtUnixMs ?? 0;
    const [oldest] = [...targets].sort((left, right) =>
        getStart(left) - getStart(right) || (getVersion(left) < getVersion(right) ? -1 : 1)
    );
    return oldest === undefined ? "" : getVersion(oldest);
}

function computeOwnUse({ order, versions }: ServiceState, version: string, now: number): VersionUse {
    const known = versions.get(version);
    const phase = order === undefined ? undefined : getRunningPhase(order);
    const status = order === undefined ? undefined : getOwnStatus(order);
    const isOrdered = order?.targetVersion === version;
    const isReplaced = status?.replacedVersions.includes(version) === true;
    if (isOrdered && phase !== undefined) return phase === "observing" ? "canary" : "usable";
    if (isOrdered) return status?.state === "completed" ? "usable" : "forbidden";
    if (isReplaced) return phase === "shifting" || status?.state === "completed" ? "forbidden" : "usable";
    if (known?.isForbidden === true) return "forbidden";
    // An order that has begun names all versions that were in use.
    if (status !== undefined) return "held";
    return known !== undefined && now < known.heldUntil ? "held" : "usable";
}

export function createVersionFilter(opts: VersionFilterOptions) {
    const services = new Map<string, ServiceState>();

    const getOrCreateService = (service: string): ServiceState => {
        const state = services.get(service) ?? { versions: new Map() };
        services.set(service, state);
        return state;
    };

    const updateVersions = (service: string, targets: readonly TargetEntry[], now: number): readonly string[] => {
        const state = getOrCreateService(service);
        const before = state.versions;
        const oldest = before.size === 0 ? findOldestVersion(targets) : undefined;
        const held: string[] = [];
        state.versions = new Map();
        for (const target of targets) {
            const version = getVersion(target);
            let current = state.versions.get(version);
            if (current === undefined) {
                const isHeld = !before.has(version) && version !== oldest;
                if (isHeld) held.push(version);
                const heldUntil = isHeld ? now + opts.getHoldMs() : before.get(version)?.heldUntil ?? -Infinity;
                current = { heldUntil, readyCount: 0, isForbidden: before.get(version)?.isForbidden ?? false };
                state.versions.set(version, current);
            }
            if (target.state === "ready") current.readyCount += 1;
        }
        if (state.versions.size === 0 && state.order === undefined) services.delete(service);
        return held;
    };

    const excludeVersions = ({ versions }: ServiceState, names: readonly string[]): void => {
        for (const name of names) {
            const version = versions.get(name);
            if (version !== undefined) version.isForbidden = true;
        }
    };

    /** Keeps what an order forbids after it has been replaced or removed. */
    const endOrder = (state: ServiceState): void => {
        const { order } = state;
        if (order === undefined) return;
        const { targetVersion } = order;
        excludeVersions(
            state,
            listForbiddenVersions(getOwnStatus(order) ?? { state: "running", targetVersion, replacedVersions: [] }),
        );
        state.order = undefined;
    };

    const getUse = (service: string, version: string, now: number): VersionUse => {
        const state = services.get(service);
        if (state === undefined) return "usable";
        const use = computeOwnUse(state, version, now);
        if (use === "usable" || use === "forbidden") return use;
        const hasAlternative = [...state.versions].some(([other, { readyCount }]) => {
            if (other === version) return false;
            const otherUse = computeOwnUse(state, other, now);
            // An order for the only version that is left must not stop the service.
            if (use === "canary") return otherUse === "usable" || otherUse === "held";
            return readyCount > 0 && otherUse === "usable";
        });
        return hasAlternative ? use : "usable";
    };

    return {
        getUse,
        /** Updates the versions of all registered targets, and returns those that are held back from now on. */
        setTargets: (targets: readonly TargetEntry[], now: number): readonly HeldVersion[] => {
            const byService = new Map<string, TargetEntry[]>([...services.keys()].map(service => [service, []]));
            for (const target of targets) {
                const listed = byService.get(target.service);
                if (listed === undefined) byService.set(target.service, [target]);
                else listed.push(target);
            }
            return [...byService].flatMap(([service, listed]) =>
                updateVersions(service, listed, now).map(version => ({ service, version }))
            );
        },
        putOrder: (order: RolloutEntry): void => {
            const state = getOrCreateService(order.service);
            if (state.order === undefined || !isSameOrder(state.order, order)) {
                endOrder(state);
                const { status } = order;
                if (status !== undefined && getOwnStatus(order) === undefined)
                    excludeVersions(state, listForbiddenVersions(status));
                const ordered = state.versions.get(order.targetVersion);
                if (ordered !== undefined) ordered.isForbidden = false;
            }
            state.order = order;
        },
        removeOrder: (service: string): void => {
            const state = services.get(service);
            if (state === undefined) return;
            endOrder(state);
            if (state.versions.size === 0) services.delete(service);
        },
        getOrder: (service: string): RolloutEntry | undefined => services.get(service)?.order,
        listOrders: (): readonly RolloutEntry[] =>
            [...services.values()].flatMap(({ order }) => order === undefined ? [] : [order]),
        /** Versions of registered targets that an order for `targetVersion` replaces. */
        listReplacedVersions: (service: string, targetVersion: string, now: number): readonly string[] =>
            [...services.get(service)?.versions.keys() ?? []]
                .filter(version => version !== targetVersion && getUse(service, version, now) === "usable")
                .sort(),
    };
}

export type VersionFilter = ReturnType<typeof createVersionFilter>;
