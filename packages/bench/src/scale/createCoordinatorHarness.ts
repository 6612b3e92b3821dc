/** The coordinator of one pool whose slots are all in use, with fake entry routers that report to it. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { PoolAnnouncementMessage, PoolReportMessage, SlotCount } from "@rhubarbwheel/types/peer-messages";
import { createRouterHarness, nameTarget, nameWorkspace, targetLimit } from "./createRouterHarness.js";
import type { RouterHarness } from "./createRouterHarness.js";

export interface CoordinatorSizes {
    /** Workspaces with waiting requests in the pool. */
    readonly backlogged: number;
    readonly targets: number;
    /** Routers that report, besides the coordinator itself. */
    readonly routers: number;
    /** Workspaces in each report; all that are backlogged unless set. */
    readonly reported?: number;
    /** Routers that report at all, all of them unless set. */
    readonly reporting?: number;
    /** Whether all targets report their load at the start, default true; each such report costs time per target. */
    readonly reportsLoad?: boolean;
}

export interface CoordinatorHarness {
    readonly router: RouterHarness;
    /** The next router reports that each of its workspaces has received more service. */
    readonly report: () => void;
    /** The next router returns a slot; the router that is granted it reports that. */
    readonly returnSlot: () => void;
    readonly reportLoad: () => void;
    /** Time passes, and every router is announced to. */
    readonly tick: () => void;
    readonly listAnnouncements: () => readonly PoolAnnouncementMessage[];
    readonly buildReport: (router: number) => PoolReportMessage;
}

/** Ticks until a takeover has ended, at 100 ms each. */
const takeoverTicks = 17;
const reportCost = 250;

/** Slots that the router holds at the start, by target; together the routers hold all. */
function buildSlots(pool: string, router: number, sizes: CoordinatorSizes): Map<string, number> {
    const slots = new Map<string, number>();
    for (let slot = router; slot < sizes.targets * targetLimit; slot += sizes.routers) {
        const target = nameTarget(pool, Math.floor(slot / targetLimit));
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
        coordinates: true,
    });
    const pool = router.pools[0]!;
    const targets = Array.from({ length: sizes.targets }, (_, index) => nameTarget(pool, index));
    const slots = Array.from({ length: sizes.routers }, (_, index) => buildSlots(pool, index, sizes));
    const granted = slots.map(list => new Map(list));
    const indices = new Map(router.others.map((member, index) => [member.router, index]));
    const sequences = slots.map(() => 0);
    const totals = slots.map(() => 0);
    let announcements: PoolAnnouncementMessage[] = [];
    const reporting = sizes.reporting ?? sizes.routers;
    const reported = sizes.reported ?? sizes.backlogged;
    // Where the others report a part of the workspaces, the last router keeps all of them in the pool and is silent.
    const lastRouter = sizes.routers - 1;
    let next = 0;

    /** The router uses what it is granted at once. Returns whether that was anything. */
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
    /** Returns the routers that were granted a slot. */
    const readEffects = (effects: readonly Effect[]): readonly number[] => {
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
    const buildReport = (index: number): PoolReportMessage => {
        totals[index]! += reportCost;
        sequences[index]! += 1;
        return {
            type: "poolReport",
            pool,
            incarnation: router.others[index]!.incarnation,
            sequence: sequences[index]!,
            usage: Array.from({ length: index === lastRouter ? sizes.backlogged : reported }, (_, workspace) => ({
                workspace: nameWorkspace((workspace + index) % sizes.backlogged),
                totalCost: totals[index]! + workspace,
                queued: 3,
                estimatedCost: reportCost,
            })),
            slots: listSlotCounts(slots[index]!),
            granted: targets.map(target => ({ target, generation: 1, total: granted[index]!.get(target) ?? 0 })),
            observations: [],
            totalsInCopy: [],
        };
    };
    const sendReport = (index: number, message: PoolReportMessage) =>
        readEffects(router.receive(router.others[index]!.router, message));
    /** What the former coordinator announced spares the targets a cold start. */
    const sendFirstReport = (index: number) => {
        const states = targets.map(target => ({
            target,
            generation: 1,
            condition: "warm" as const,
            limit: targetLimit,
            startId: "start-1",
        }));
        const copy = { version: 1, poolVirtualTime: 0, entries: [], targets: states };
        sendReport(index, { ...buildReport(index), copy });
    };
    const reportTargetLoad = (target: string) => {
        const report = { target, startId: "start-1", running: targetLimit, queued: 0, ageMs: 20 };
        readEffects(router.reduce({ type: "loadReported", service: pool, report }));
    };
    const takeRouter = () => (next = (next + 1) % (sizes.reported === undefined ? reporting : lastRouter));

    // The coordinator takes its office with a tick; earlier reports would not count.
    router.tick();
    for (let index = 0; index < reporting; index++) sendFirstReport(index);
    for (let tick = 0; tick < takeoverTicks; tick++) router.tick();
    if (sizes.reportsLoad ?? true) targets.forEach(reportTargetLoad);

    let target = 0;
    return {
        router,
        report: () => {
            const index = takeRouter();
            sendReport(index, buildReport(index));
        },
        returnSlot: () => {
            const index = takeRouter();
            for (const [name, held] of slots[index]!) {
                if (held === 0) continue;
                slots[index]!.set(name, held - 1);
                break;
            }
            for (const receiver of sendReport(index, buildReport(index))) sendReport(receiver, buildReport(receiver));
        },
        reportLoad: () => reportTargetLoad(targets[target = (target + 1) % sizes.targets]!),
        tick: () => void readEffects(router.tick()),
        listAnnouncements: () => announcements,
        buildReport,
    };
}
