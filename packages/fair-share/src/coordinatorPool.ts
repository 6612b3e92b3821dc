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
    /** Slots granted for the queued requests that no report has confirmed. */
    pending: number;
}

/** Slots of one target at one router: allocated in total, unused, of the current generation, and reported in use. */
export interface CountedSlots {
    readonly allocated: number;
    readonly unused: number;
    readonly reusable: number;
    readonly inUse: number;
}

/** Entries last sent to a router, from which partial announcements are built. */
export interface AnnouncedEntries {
    /** Time of the last complete announcement. */
    lastCompleteAt: number;
    readonly granted: Map<string, GrantTotal>;
    readonly virtualTimes: Map<string, number>;
    readonly targets: Map<string, TargetState>;
}

/** State of one entry router at the coordinator. */
export interface RouterRecord {
    readonly router: string;
    readonly incarnation: number;
    sequence: number;
    /** Whether the router has reported since the takeover began. */
    hasReported: boolean;
    readonly usage: Map<string, WorkspaceRecord>;
    /** Slots in the last report, by target. */
    slots: ReadonlyMap<string, readonly SlotCount[]>;
    /** Grant totals that the router has confirmed, by target. */
    readonly confirmed: Map<string, GrantTotal>;
    /** Grant totals issued under the current generation, by target. */
    readonly issued: Map<string, { generation: number; total: number; }>;
    /** Unconfirmed grants of older generations, allocated until the router confirms `untilGeneration`. */
    readonly carriedOver: Map<string, { untilGeneration: number; count: number; }>;
    pending: PendingGrant[];
    /** Contribution of this router to the sums of each target. */
    readonly counted: Map<string, CountedSlots>;
    lastAnnouncedAt: number;
    readonly announced: AnnouncedEntries;
    /** Whether an announcement is sent at the end of the current step. */
    announcementDue: boolean;
    /** Whether the router has to send its copy: an announcement with a low version makes it do so. */
    copyNeeded: boolean;
}

export interface CoordinatedWorkspace {
    readonly workspace: string;
    virtualTime: number;
    share: number;
    estimatedCost: number;
    /** Routers with queued requests of the workspace. */
    readonly queuedByRouter: Map<string, WorkspaceRecord>;
    /** Estimated cost of unconfirmed grants. */
    pendingCost: number;
}

export interface TargetLease {
    requestSentAt: number;
    result?: "held" | "taken" | "unavailable";
    validUntil: number;
    /** Time at which the store last replied that another router holds the lease. */
    takenAt: number;
}

export interface CoordinatedTarget {
    spec: TargetSpec;
    generation: number;
    /** Whether condition and limit are known, from a previous coordinator or because the target is treated as new. */
    known: boolean;
    condition: TargetCondition;
    /** Limit while the target is cold. */
    coldLimit: number;
    startId?: string;
    /** Version of the latest announcement that contained this state. */
    stateVersion: number;
    /** Whether a load report has arrived since the target was new, refused or closed; required for grants. */
    confirmed: boolean;
    /** Set after an observed failure; the next load report decides whether the target is cold. */
    suspect?: "refused" | "broken";
    /** Load reports sampled before this time predate the last failure and are ignored. */
    loadReportsFrom: number;
    /** Requests completed since the limit was last raised. */
    completed: number;
    /** Multiplier of the warm-up, doubled when the target fails after its cold limit was raised. */
    warmUpFactor: number;
    allocated: number;
    unused: number;
    reusable: number;
    inUse: number;
    /** Running requests that no router record accounts for, from the last two load reports. */
    unreportedRequests: number;
    lastUnreportedRequests: number;
    /**
     * Slots of lost routers, which may be in use although no report accounts for them. Load reports sampled after
     * `since` lower `count` to the number of unreported running requests, which is `lastUnreported` in the latest one.
     */
    unaccountedSlots: { count: number; readonly since: number; lastUnreported: number; };
    /** Slots returned during a takeover, which are available for new grants. */
    returned: number;
    /** Maximum number of slots that this side of a partition may have allocated. */
    partitionCap: number;
    /** Consecutive load reports that show spare capacity during a partition. */
    spareReports: number;
    /** Recent values of `allocated`, each with the time of its change. */
    readonly history: { readonly at: number; readonly allocated: number; }[];
    /** Running and queued requests in the last load report. */
    running?: number;
    polledAt: number;
    pollPending: boolean;
    readonly lease: TargetLease;
    /** Whether the lease, or a majority without access to the store, allows grants while the target is cold. */
    mayGrantCold: boolean;
    /** Whether the target was warm when it was closed. */
    warmWhenClosed: boolean;
}

export interface CoordinatorPool {
    readonly name: string;
    service: NamedService;
    /** Time since which this router is the coordinator; `undefined` while it is not. */
    coordinatorSince?: number;
    takeoverDeadlineAt?: number;
    /** Reports received earlier do not count for the takeover: those sent before a pause may arrive after it. */
    takeoverReportsFrom: number;
    version: number;
    poolVirtualTime: number;
    readonly workspaces: Map<string, CoordinatedWorkspace>;
    readonly targets: Map<string, CoordinatedTarget>;
    readonly routers: Map<string, RouterRecord>;
    contended: boolean;
    /** Fraction of the listed routers that is alive, and time since which it is a majority. */
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
        takeoverReportsFrom: -Infinity,
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
        loadReportsFrom: -Infinity,
        allocated: 0,
        unused: 0,
        reusable: 0,
        inUse: 0,
        unreportedRequests: 0,
        lastUnreportedRequests: 0,
        unaccountedSlots: { count: 0, since: 0, lastUnreported: 0 },
        returned: 0,
        partitionCap: Infinity,
        spareReports: 0,
        history: [],
        polledAt: -Infinity,
        pollPending: false,
        lease: { requestSentAt: -Infinity, validUntil: -Infinity, takenAt: -Infinity },
        mayGrantCold: false,
        warmWhenClosed: false,
    };
}

export function createRouterRecord(router: string, incarnation: number): RouterRecord {
    return {
        router,
        incarnation,
        sequence: 0,
        hasReported: false,
        usage: new Map(),
        slots: new Map(),
        confirmed: new Map(),
        issued: new Map(),
        carriedOver: new Map(),
        pending: [],
        counted: new Map(),
        lastAnnouncedAt: -Infinity,
        announced: { lastCompleteAt: -Infinity, granted: new Map(), virtualTimes: new Map(), targets: new Map() },
        announcementDue: false,
        copyNeeded: false,
    };
}

export function getOrCreateCoordinatedWorkspace(
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
            queuedByRouter: new Map(),
            pendingCost: 0,
        };
        pool.workspaces.set(name, workspace);
    }
    return workspace;
}
