/** The coordinator of a pool whose slots are all in use, with simulated entry routers that report to it. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { PoolAnnouncementMessage, PoolReportMessage, SlotCount } from "@rhubarbwheel/types/peer-messages";
import { createRouterHarness, getTargetName, getWorkspaceName, targetLimit } from "./createRouterHarness.js";
import type { RouterHarness } from "./createRouterHarness.js";

export interface CoordinatorSizes {
    /** Number of workspaces with queued requests in the pool. */
    readonly backlogged: number;
    readonly targets: number;
    /** Number of entry routers, not including the coordinator. */
    readonly routers: number;
    /** Number of workspaces in each report; defaults to all backlogged ones. */
    readonly reportedWorkspaces?: number;
    /** Number of routers that send reports; defaults to all. */
    readonly reportingRouters?: number;
    /** Whether each target reports its load at the start; defaults to true. The cost of each grows with `targets`. */
    readonly reportsTargetLoad?: boolean;
}

export interface CoordinatorHarness {
    readonly router: RouterHarness;
    /** Sends the next router's report, in which each of its workspaces has received more service. */
    readonly report: () => void;
    /** Returns a slot of the next router; the router to which it is granted then sends a report. */
    readonly returnSlot: () => void;
    readonly reportLoad: () => void;
    /** Advances the clock and sends an announcement to each router. */
    readonly tick: () => void;
    readonly listAnnouncements: () => readonly PoolAnnouncementMessage[];
    readonly createReport: (router: number) => PoolReportMessage;
}

/** Number of ticks of 100 ms until the takeover ends. */
const takeoverTicks = 17;
const reportCost = 250;

/** Returns the number of slots per target that the router holds at the start; the routers together hold all slots. */
function createSlots(pool: string, router: number, sizes: CoordinatorSizes): Map<string, number> {
    const slots = new Map<string, number>();
    for (let slot = router; slot < sizes.targets * targetLimit; slot += sizes.routers) {
        const target = getTargetName(pool, Math.floor(slot / targetLimit));
        slots.set(target, (slots.get(target) ?? 0) + 1);
    }
    return slots;
}

function listSlotCounts(slots: ReadonlyMap<string, number>): SlotCount[] {
    return [...slots].filter(([, held]) => held > 0)
        .map(([target, held]) => ({ target, generation: 1, held, inUse: held }));
}

export function createCoordinatorHarness(sizes: CoordinatorSizes): CoordinatorHarness {
    const router = createRouterHarness({
        members: sizes.routers + 1,
        workspaces: sizes.backlogged,
        targets: sizes.targets,
        isCoordinator: true,
    });
    const pool = router.pools[0]!;
    const targets = Array.from({ length: sizes.targets }, (_, index) => getTargetName(pool, index));
    const slots = Array.from({ length: sizes.routers }, (_, index) => createSlots(pool, index, sizes));
    const granted = slots.map(list => new Map(list));
    const indices = new Map(router.others.map((member, index) => [member.router, index]));
    const sequences = slots.map(() => 0);
    const totalCosts = slots.map(() => 0);
    let announcements: PoolAnnouncementMessage[] = [];
    const reportingRouterCount = sizes.reportingRouters ?? sizes.routers;
    const reportedWorkspaceCount = sizes.reportedWorkspaces ?? sizes.backlogged;
    // If the others report only some workspaces, the last router reports all once, which keeps them in the pool, and
    // sends nothing further.
    const lastRouterIndex = sizes.routers - 1;
    let nextRouter = 0;

    /** Adds the granted slots to those of the router, all in use. Returns whether any were granted. */
    const applyGrants = (index: number, message: PoolAnnouncementMessage): boolean => {
        let isGranted = false;
        for (const { target, total } of message.granted) {
            const added = total - (granted[index]!.get(target) ?? 0);
            if (added <= 0) continue;
            isGranted = true;
            granted[index]!.set(target, total);
            slots[index]!.set(target, (slots[index]!.get(target) ?? 0) + added);
        }
        return isGranted;
    };
    /** Stores the announcements and returns the routers to which slots were granted. */
    const handleEffects = (effects: readonly Effect[]): readonly number[] => {
        announcements = [];
        const receivers: number[] = [];
        for (const effect of effects) {
            if (effect.type !== "sendToPeer" || effect.message.type !== "poolAnnouncement") continue;
            announcements.push(effect.message);
            const index = indices.get(effect.router)!;
            if (applyGrants(index, effect.message)) receivers.push(index);
        }
        return receivers;
    };
    const createReport = (index: number): PoolReportMessage => {
        totalCosts[index]! += reportCost;
        sequences[index]! += 1;
        return {
            type: "poolReport",
            pool,
            incarnation: router.others[index]!.incarnation,
            sequence: sequences[index]!,
            usage: Array.from(
                { length: index === lastRouterIndex ? sizes.backlogged : reportedWorkspaceCount },
                (_, workspace) => ({
                    workspace: getWorkspaceName((workspace + index) % sizes.backlogged),
                    totalCost: totalCosts[index]! + workspace,
                    queued: 3,
                    estimatedCost: reportCost,
                }),
            ),
            slots: listSlotCounts(slots[index]!),
            granted: targets.map(target => ({ target, generation: 1, total: granted[index]!.get(target) ?? 0 })),
            observations: [],
            totalsInCopy: [],
        };
    };
    const sendReport = (index: number, message: PoolReportMessage) =>
        handleEffects(router.receive(router.others[index]!.router, message));
    /** Includes a copy of the former coordinator's announcement, so that the targets do not start cold. */
    const sendFirstReport = (index: number) => {
        const states = targets.map(target => ({
            target,
            generation: 1,
            condition: "warm" as const,
            limit: targetLimit,
            startId: "start-1",
        }));
        const copy = { version: 1, poolVirtualTime: 0, entries: [], targets: states };
        sendReport(index, { ...createReport(index), copy });
    };
    const reportTargetLoad = (target: string) => {
        const report = { target, startId: "start-1", running: targetLimit, queued: 0, ageMs: 20 };
        handleEffects(router.reduce({ type: "loadReported", service: pool, report }));
    };
    const advanceRouter = () => (nextRouter = (nextRouter + 1)
        % (sizes.reportedWorkspaces === undefined ? reportingRouterCount : lastRouterIndex));

    // The router becomes coordinator at its first tick and ignores earlier reports.
    router.tick();
    for (let index = 0; index < reportingRouterCount; index++) sendFirstReport(index);
    for (let tick = 0; tick < takeoverTicks; tick++) router.tick();
    if (sizes.reportsTargetLoad ?? true) targets.forEach(reportTargetLoad);

    let target = 0;
    return {
        router,
        report: () => {
            const index = advanceRouter();
            sendReport(index, createReport(index));
        },
        returnSlot: () => {
            const index = advanceRouter();
            for (const [name, held] of slots[index]!) {
                if (held === 0) continue;
                slots[index]!.set(name, held - 1);
                break;
            }
            for (const receiver of sendReport(index, createReport(index))) sendReport(receiver, createReport(receiver));
        },
        reportLoad: () => reportTargetLoad(targets[target = (target + 1) % sizes.targets]!),
        tick: () => void handleEffects(router.tick()),
        listAnnouncements: () => announcements,
        createReport,
    };
}
