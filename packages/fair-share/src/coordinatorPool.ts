/** State of one pool at its coordinator. */
import type { Effect, LogEffect } from "@rhubarbwheel/types/effects";
import type { NamedService } from "@rhubarbwheel/types/events";
import type { GrantTotal, SlotCount, TargetCondition, TargetState } from "@rhubarbwheel/types/peer-messages";
import type { TargetSpec } from "@rhubarbwheel/types/resources";
import type { ConfigurationQueries, MembershipQueries, RouterIdentity } from "@rhubarbwheel/types/slices";

/** A grant that no report has confirmed yet. */
export interface PendingGrant {
    readonly workspace: string;
    readonly target: string;
    readonly generation: number;
    /** Cumulative total of the grant: a report with this total confirms it. */
    readonly total: number;
    readonly cost: number;
}

export interface WorkspaceRecord {
    totalCost: number;
    queued: number;
    /** Slots granted for the queued requests since the report. */
    pending: number;
}

/** Slots of one target: all, those that are free, those of the current generation, and those that were reported in use. */
export interface CountedSlots {
    readonly taken: number;
    readonly unused: number;
    readonly reusable: number;
    readonly inUse: number;
}

/** Entries that a router has been sent. */
export interface AnnouncedEntries {
    /** Time of the last announcement with every entry. */
    allAt: number;
    readonly granted: Map<string, GrantTotal>;
    readonly virtualTimes: Map<string, number>;
    readonly targets: Map<string, TargetState>;
}

/** What the coordinator knows about one entry router. */
export interface RouterRecord {
    readonly router: string;
    readonly incarnation: number;
    sequence: number;
    /** Whether the router has reported since the takeover began. */
    inTenure: boolean;
    readonly usage: Map<string, WorkspaceRecord>;
    /** Slots of the last report, per target. */
    slots: ReadonlyMap<string, readonly SlotCount[]>;
    /** Grant totals that the router has confirmed, by target. */
    readonly confirmed: Map<string, GrantTotal>;
    /** Grant totals issued under the current generation, by target. */
    readonly issued: Map<string, { generation: number; total: number; }>;
    /** Unconfirmed grants of older generations; they count until the router confirms `untilGeneration`. */
    readonly carried: Map<string, { untilGeneration: number; count: number; }>;
    pending: PendingGrant[];
    /** Slots that this router adds to the sums of each target. */
    readonly counted: Map<string, CountedSlots>;
    lastAnnouncedAt: number;
    /** Content of the announcements so far, so that the next one can leave out what has not changed. */
    readonly announced: AnnouncedEntries;
    /** An announcement is due in this step. */
    announce: boolean;
    /** The router is to be asked for its copy. */
    prompt: boolean;
}

export interface CoordinatedWorkspace {
    readonly workspace: string;
    virtualTime: number;
    share: number;
    estimatedCost: number;
    /** Routers at which requests wait. */
    readonly queuedAt: Map<string, WorkspaceRecord>;
    /** Estimated cost of unconfirmed grants. */
    pendingCost: number;
}

export interface TargetLease {
    askedAt: number;
    result?: "held" | "taken" | "unavailable";
    validUntil: number;
    takenAt: number;
}

export interface CoordinatedTarget {
    spec: TargetSpec;
    generation: number;
    /** Whether condition and limit are known, from a former coordinator or because the target was taken as new. */
    known: boolean;
    condition: TargetCondition;
    /** Limit during a cold start. */
    coldLimit: number;
    startId?: string;
    /** Version of the latest announcement that contained this state. */
    stateVersion: number;
    /** Slots are granted only after a load report has arrived since the target was new, refused or closed. */
    confirmed: boolean;
    /** A failure was observed; the next load report decides whether the target is cold. */
    suspect?: "refused" | "broken";
    /** Load reports sampled before this time say nothing about the target after its last failure. */
    trustSince: number;
    /** Completed requests since the limit was raised last. */
    completed: number;
    /** Multiplies the warm-up after the target failed while its limit was rising. */
    warmUpFactor: number;
    taken: number;
    unused: number;
    reusable: number;
    inUse: number;
    /** Running requests that no record accounts for, from the last two load reports. */
    foreign: number;
    lastForeign: number;
    /**
     * Slots of lost routers, which may be in use although no report accounts for them. Load reports sampled after `since`
     * lower the number to the running requests that no report shows; `seen` is their number in the latest of them.
     */
    unaccounted: { count: number; readonly since: number; seen: number; };
    /** Slots returned during a takeover, which may be granted again. */
    returned: number;
    /** Greatest number of slots this side of a partition may grant. */
    partitionCap: number;
    idleReports: number;
    /** Recent values of `taken` with the time since which they hold. */
    readonly history: { readonly at: number; readonly taken: number; }[];
    running?: number;
    polledAt: number;
    pollPending: boolean;
    readonly lease: TargetLease;
    mayGrantCold: boolean;
    /** Whether the target was warm when it was closed. */
    warmWhenClosed: boolean;
}

export interface CoordinatorPool {
    readonly name: string;
    service: NamedService;
    /** Time since which this router is the coordinator; `undefined` while it is not. */
    since?: number;
    takeoverUntil?: number;
    /** Earlier reports do not count for the takeover: after a pause, messages from before it may still arrive. */
    reportsFrom: number;
    version: number;
    poolVirtualTime: number;
    readonly workspaces: Map<string, CoordinatedWorkspace>;
    readonly targets: Map<string, CoordinatedTarget>;
    readonly routers: Map<string, RouterRecord>;
    contended: boolean;
    /** Part of the listed routers that are alive, and time since which they are the majority. */
    aliveRatio: number;
    majoritySince?: number;
}

export interface CoordinatorContext {
    readonly identity: RouterIdentity;
    readonly membership: MembershipQueries;
    readonly configuration: ConfigurationQueries;
    readonly pools: Map<string, CoordinatorPool>;
    now: number;
    effects: Effect[];
}

/** Numbers of the log events of the pool coordinator. */
export const coordinatorLogEvents = {
    slotsGranted: 1200,
    targetChanged: 1201,
    takeoverStarted: 1202,
    takeoverEnded: 1203,
    coordinationStopped: 1204,
    leaseAnswered: 1205,
    routerLost: 1206,
    contentionChanged: 1207,
} as const;

export function logCoordinatorEvent(
    context: CoordinatorContext,
    event: keyof typeof coordinatorLogEvents,
    fields: LogEffect["fields"],
): void {
    context.effects.push({ type: "log", event: coordinatorLogEvents[event], fields });
}

export function createCoordinatorPool(service: NamedService): CoordinatorPool {
    return {
        name: service.name,
        service,
        reportsFrom: -Infinity,
        version: 0,
        poolVirtualTime: 0,
        workspaces: new Map(),
        targets: new Map(),
        routers: new Map(),
        contended: false,
        aliveRatio: 1,
    };
}

export function createCoordinatedTarget(spec: TargetSpec): CoordinatedTarget {
    return {
        spec,
        generation: 0,
        known: false,
        condition: "cold",
        coldLimit: 0,
        stateVersion: 0,
        confirmed: false,
        completed: 0,
        warmUpFactor: 1,
        trustSince: -Infinity,
        taken: 0,
        unused: 0,
        reusable: 0,
        inUse: 0,
        foreign: 0,
        lastForeign: 0,
        unaccounted: { count: 0, since: 0, seen: 0 },
        returned: 0,
        partitionCap: Infinity,
        idleReports: 0,
        history: [],
        polledAt: -Infinity,
        pollPending: false,
        lease: { askedAt: -Infinity, validUntil: -Infinity, takenAt: -Infinity },
        mayGrantCold: false,
        warmWhenClosed: false,
    };
}

export function createRouterRecord(router: string, incarnation: number): RouterRecord {
    return {
        router,
        incarnation,
        sequence: 0,
        inTenure: false,
        usage: new Map(),
        slots: new Map(),
        confirmed: new Map(),
        issued: new Map(),
        carried: new Map(),
        pending: [],
        counted: new Map(),
        lastAnnouncedAt: -Infinity,
        announced: { allAt: -Infinity, granted: new Map(), virtualTimes: new Map(), targets: new Map() },
        announce: false,
        prompt: false,
    };
}

export function getCoordinatedWorkspace(
    context: CoordinatorContext,
    pool: CoordinatorPool,
    name: string,
): CoordinatedWorkspace {
    let workspace = pool.workspaces.get(name);
    if (workspace === undefined) {
        workspace = {
            workspace: name,
            virtualTime: pool.poolVirtualTime,
            share: context.configuration.getWorkspace(name)?.share ?? 1,
            estimatedCost: 0,
            queuedAt: new Map(),
            pendingCost: 0,
        };
        pool.workspaces.set(name, workspace);
    }
    return workspace;
}
