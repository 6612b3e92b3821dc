/**
 * Slice that holds the router's view of the fleet (configuration, targets, closed failure domains, routers) and the age
 * of each part. It alone decides what may still be used once the store has stopped confirming a part.
 */
import type { RouteTable } from "@rhubarbwheel/routing/createRouteTable";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { FleetConfiguration, PoolSpec, RouterEntry, TargetEntry, ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKinds, viewKindsWithRollouts } from "@rhubarbwheel/types/fleet";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import type { RolloutEntry } from "@rhubarbwheel/types/rollout";
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import type {
    ConfigurationConfirmedEvent,
    ViewChange,
    ViewChangedEvent,
    ViewInterruptedEvent,
    ViewListedEvent,
} from "@rhubarbwheel/types/view-events";
import { createAppliedConfiguration } from "./createAppliedConfiguration.js";
import { createRolloutView } from "./createRolloutView.js";
import type { RolloutQueries } from "./createRolloutView.js";
import { createTargetList } from "./createTargetList.js";
import type { VersionFilterOptions } from "./createVersionFilter.js";
import { getEntryName } from "./entryNames.js";

export interface FleetViewOptions {
    /** Maximum age of the configuration at which credentials are accepted; an older one may lack a revocation. */
    readonly getMaxCredentialAgeMs: () => number;
    /** Time after an outage of the store within which live targets have restored the entries that lapsed in it. */
    readonly entryRestoreMs: number;
    /** Maximum time since the store was last known to be unavailable for which a target without entry is used. */
    readonly maxLapseMs: number;
    readonly getRegion: (failureDomain: string) => string | undefined;
    /** Set if this router follows the orders to roll out versions. */
    readonly rollouts?: VersionFilterOptions;
}

/** `unknown`: no configuration has been read yet. `unconfirmed`: it is older than the maximum age for credentials. */
export type CredentialFreshness = "current" | "unconfirmed" | "unknown";

export interface FleetView extends PlacementSlice {
    readonly getConfiguration: () => FleetConfiguration | undefined;
    readonly getRoutes: () => RouteTable | undefined;
    readonly getPool: (service: string) => PoolSpec | undefined;
    readonly listServices: () => readonly string[];
    readonly getCredentialFreshness: (now: number) => CredentialFreshness;
    /** Targets of the service that may receive new requests, limited to `regions` if given. */
    readonly listUsableTargets: (service: string, regions?: readonly string[]) => readonly TargetEntry[];
    /** Targets that may receive requests only if the coordinator of the service grants them. */
    readonly listCanaryTargets: (service: string, regions?: readonly string[]) => readonly TargetEntry[];
    /** Whether a target may receive a request for which the coordinator has chosen it. */
    readonly isUsable: (target: string) => boolean;
    /** Whether the orders allow the version of the target, whatever its state. */
    readonly isVersionAllowed: (target: TargetEntry) => boolean;
    /** Orders to roll out versions; omitted if this router does not follow them. */
    readonly rollouts?: RolloutQueries;
    readonly getTarget: (target: string) => TargetEntry | undefined;
    /** All registered targets, whatever their state. */
    readonly listTargets: () => readonly TargetEntry[];
    readonly getColdRemainingMs: (target: string, now: number) => number;
    /** Returns the same array until a router changes. */
    readonly listRouters: () => readonly RouterEntry[];
    /** Time since the kind was last confirmed; Infinity if it never was. */
    readonly getAgeMs: (kind: ViewKind, now: number) => number;
    /** Position in the store as of which the kind is known; era and revision are 0 if it never was read. */
    readonly getPosition: (kind: ViewKind) => StorePosition;
    /** Highest era of the store that an entry of any kind belongs to; 0 before the first list. */
    readonly getEra: () => number;
    /** Whether every kind has been read at least once, as serving requires. */
    readonly isComplete: () => boolean;
}

/** Event numbers of the fleet view's log events. */
export const fleetViewEvents = {
    configurationApplied: 1600,
    configurationIgnored: 1601,
    targetEntryChanged: 1602,
    targetRemoved: 1603,
    targetLapsed: 1604,
    domainClosed: 1605,
    domainOpened: 1606,
    storeLost: 1607,
    storeRegained: 1608,
    clockJumped: 1609,
    storeEraChanged: 1617,
    rolloutOrderChanged: 1730,
    versionHeld: 1731,
} as const;

interface KindState {
    position: StorePosition;
    confirmedAt: number;
    known: boolean;
    /** Time of the first failed request for this kind since the last success; unset while requests succeed. */
    failingSince?: number;
}

export function createFleetView(opts: FleetViewOptions): FleetView {
    const followedKinds = opts.rollouts === undefined ? viewKinds : viewKindsWithRollouts;
    const kinds = Object.fromEntries(viewKindsWithRollouts.map(kind => [kind, {
        position: { era: 0, revision: 0 },
        confirmedAt: -Infinity,
        known: false,
    }])) as unknown as Readonly<Record<ViewKind, KindState>>;
    const targets = createTargetList();
    /** Time at which the last request was sent whose failure was that of the store. */
    let outageSeenAt = -Infinity;
    /** Time of the first response after the last request without one; undefined before it. */
    let outageEndedAt: number | undefined = -Infinity;
    /** Highest era of any kind; undefined before the first list. */
    let latestEra: number | undefined;
    const routers = new Map<string, RouterEntry>();
    let routerList: readonly RouterEntry[] = [];
    const closedDomains = new Set<string>();
    let effects: PlacementEffect[] = [];

    const log = (event: keyof typeof fleetViewEvents, fields: LogEffect["fields"]): void => {
        effects.push({ type: "log", event: fleetViewEvents[event], fields });
    };

    const configuration = createAppliedConfiguration({ log });
    const rollouts = opts.rollouts === undefined ? undefined : createRolloutView({ ...opts.rollouts, log });

    const putTarget = (entry: TargetEntry, now: number): void => {
        const before = targets.get(entry.target);
        targets.put(entry, now);
        const isSame = before?.state === entry.state && before.address === entry.address
            && before.startedAtUnixMs === entry.startedAtUnixMs && before.version === entry.version
            && (before.coldForMs > 0) === (entry.coldForMs > 0);
        if (isSame) return;
        const { target, service, address, failureDomain, state, coldForMs, version } = entry;
        log("targetEntryChanged", { target, service, address, failureDomain, state, coldForMs, version });
    };

    /** Time until which targets without an entry are used, because live ones cannot renew entries in an outage. */
    const getGraceEndsAt = (): number =>
        Math.min((outageEndedAt ?? Infinity) + opts.entryRestoreMs, outageSeenAt + opts.maxLapseMs);

    const removeTarget = (name: string, now: number): void => {
        const known = targets.get(name);
        if (known === undefined) return;
        const graceMs = getGraceEndsAt() - now;
        if (known.state !== "ready" || graceMs <= 0) {
            targets.remove(name);
            log("targetRemoved", { target: name });
        }
        else if (targets.addLapsed(name)) { log("targetLapsed", { target: name, graceMs: Math.round(graceMs) }); }
    };

    const removeLapsedTargets = (now: number): void => {
        if (!targets.hasLapsed() || now < getGraceEndsAt()) return;
        for (const target of targets.removeLapsed()) log("targetRemoved", { target });
        rollouts?.applyTargets(targets.listAll(), now);
    };

    const setDomainClosed = (name: string, isClosed: boolean): void => {
        if (isClosed === closedDomains.has(name)) return;
        if (isClosed) closedDomains.add(name);
        else closedDomains.delete(name);
        log(isClosed ? "domainClosed" : "domainOpened", { failureDomain: name });
    };

    const applyChange = (kind: ViewKind, change: ViewChange, event: ViewListedEvent | ViewChangedEvent): void => {
        const { name, entry } = change;
        if (kind === "configuration") {
            const { position: { revision }, confirmedAt } = kinds.configuration;
            if (entry !== undefined) configuration.apply(entry as FleetConfiguration, event, { revision, confirmedAt });
        }
        else if (kind === "targets") {
            if (entry === undefined) removeTarget(name, event.now);
            else putTarget(entry as TargetEntry, event.now);
        }
        else if (kind === "closedDomains") setDomainClosed(name, entry !== undefined);
        else if (kind === "rollouts") rollouts?.applyChange(name, entry as RolloutEntry | undefined);
        else if (entry === undefined) routers.delete(name);
        else routers.set(name, entry as RouterEntry);
    };

    const listNames = (kind: ViewKind): readonly string[] => {
        if (kind === "targets") return targets.listNames();
        if (kind === "closedDomains") return [...closedDomains];
        if (kind === "rollouts") return rollouts?.listServices() ?? [];
        return kind === "routers" ? [...routers.keys()] : [];
    };

    const confirm = (event: ViewListedEvent | ViewChangedEvent): void => {
        const state = kinds[event.kind];
        if (state.failingSince !== undefined) {
            log("storeRegained", { kind: event.kind, lostForMs: Math.round(event.now - state.failingSince) });
            state.failingSince = undefined;
        }
        state.known = true;
        const { era, revision } = event;
        state.position = { era, revision };
        state.confirmedAt = Math.max(state.confirmedAt, event.confirmedAt);
    };

    /** Leaves `failingSince` set, because a confirmation by a router does not end the outage of the store. */
    const confirmByRouter = ({ version, confirmedAt }: ConfigurationConfirmedEvent): void => {
        const state = kinds.configuration;
        if (version === configuration.get()?.version) state.confirmedAt = Math.max(state.confirmedAt, confirmedAt);
    };

    const applyList = (event: ViewListedEvent): void => {
        const changes = event.entries.map(entry => ({ name: getEntryName(event.kind, entry), entry }));
        const present = new Set(changes.map(change => change.name));
        for (const name of listNames(event.kind))
            if (!present.has(name)) applyChange(event.kind, { name }, event);
        for (const change of changes) applyChange(event.kind, change, event);
    };

    const recordFailure = ({ kind, cause, requestSentAt, reason, now }: ViewInterruptedEvent): void => {
        const state = kinds[kind];
        if (cause === "store") outageSeenAt = Math.max(outageSeenAt, requestSentAt);
        // After the loss of a connection, the outage before it may go on.
        if (cause !== "request") outageEndedAt = undefined;
        if (state.failingSince !== undefined) return;
        state.failingSince = now;
        log("storeLost", { kind, cause, reason, ageMs: Math.round(now - state.confirmedAt) });
    };

    const recordEra = ({ kind, era, revision, relay }: ViewListedEvent | ViewChangedEvent): void => {
        if (latestEra !== undefined && era > latestEra) {
            const previousRevision = kinds[kind].position.revision;
            log("storeEraChanged", { era, previousEra: latestEra, kind, revision, previousRevision, relay });
        }
        latestEra = Math.max(era, latestEra ?? era);
    };

    const handleEvent = (event: PlacementEvent): void => {
        if (event.type === "viewListed" || event.type === "viewChanged") {
            recordEra(event);
            outageEndedAt ??= event.now;
            if (event.type === "viewListed") applyList(event);
            else for (const change of event.changes) applyChange(event.kind, change, event);
            const isUnchanged = event.type === "viewChanged" && event.changes.length === 0;
            if (event.kind === "targets" && !isUnchanged) {
                targets.rebuildIndex();
                rollouts?.applyTargets(targets.listAll(), event.now);
            }
            if (event.kind === "routers" && !isUnchanged) routerList = [...routers.values()];
            confirm(event);
        }
        else if (event.type === "configurationConfirmed") confirmByRouter(event);
        else if (event.type === "rolloutStatusWritten") rollouts?.applyWrite(event);
        else if (event.type === "viewInterrupted") recordFailure(event);
        else if (event.type === "targetHealthRead") {
            const { target, coldForMs } = event;
            const startedAtUnixMs = targets.get(target)?.startedAtUnixMs;
            targets.recordCold({ target, startedAtUnixMs, coldForMs }, event.now);
        }
        else if (event.type === "routerMessage") {
            if (event.message.type === "coldNotice") targets.recordCold(event.message, event.now);
        }
        else if (event.type === "clockJumped") {
            // The monotonic clock may have stood still for seconds, so ages computed from it are too low.
            for (const kind of viewKindsWithRollouts) kinds[kind].confirmedAt = -Infinity;
            log("clockJumped", { byMs: Math.round(event.byMs) });
        }
    };

    const isOpen = (target: TargetEntry): boolean => !closedDomains.has(target.failureDomain);

    const listOpen = (service: string, regions?: readonly string[]): readonly TargetEntry[] =>
        targets.listReady(service).filter(target =>
            isOpen(target)
            && (regions === undefined || regions.includes(opts.getRegion(target.failureDomain) ?? ""))
        );

    const isVersionAllowed = (target: TargetEntry): boolean =>
        rollouts === undefined || rollouts.isUsable(target) || rollouts.isCanary(target);

    return {
        reduce: event => {
            effects = [];
            rollouts?.setNow(event.now);
            handleEvent(event);
            removeLapsedTargets(event.now);
            return effects;
        },
        getWakeAt: () => targets.hasLapsed() ? getGraceEndsAt() : Infinity,
        getConfiguration: configuration.get,
        getRoutes: configuration.getRoutes,
        getPool: configuration.getPool,
        listServices: targets.listServices,
        getCredentialFreshness: now => {
            if (!kinds.configuration.known) return "unknown";
            return now - kinds.configuration.confirmedAt <= opts.getMaxCredentialAgeMs() ? "current" : "unconfirmed";
        },
        listUsableTargets: (service, regions) => {
            const open = listOpen(service, regions);
            return rollouts === undefined ? open : open.filter(rollouts.isUsable);
        },
        listCanaryTargets: (service, regions) =>
            rollouts === undefined ? [] : listOpen(service, regions).filter(rollouts.isCanary),
        isUsable: name => {
            const target = targets.get(name);
            return target?.state === "ready" && isOpen(target) && isVersionAllowed(target);
        },
        isVersionAllowed,
        rollouts,
        getTarget: targets.get,
        listTargets: targets.listAll,
        getColdRemainingMs: targets.getColdRemainingMs,
        listRouters: () => routerList,
        getAgeMs: (kind, now) => now - kinds[kind].confirmedAt,
        getPosition: kind => kinds[kind].position,
        getEra: () => latestEra ?? 0,
        isComplete: () => followedKinds.every(kind => kinds[kind].known),
    };
}
