/** An entry router with requests in progress, told by a fake coordinator what it may do. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { PoolAnnouncementMessage, PoolReportMessage } from "@rhubarbwheel/types/peer-messages";
import { createRouterHarness, nameTarget, nameWorkspace, targetLimit } from "./createRouterHarness.js";
import type { RouterHarness } from "./createRouterHarness.js";

export interface EntrySizes {
    /** Workspaces that have sent a request to this router. */
    readonly workspaces: number;
    /** Workspaces with waiting requests. */
    readonly backlogged: number;
    readonly targets: number;
    readonly members?: number;
}

export interface EntryHarness {
    readonly router: RouterHarness;
    /** A request arrives, is accepted, makes progress and ends; with a backlog, its slot serves a waiting request. */
    readonly runRequest: () => void;
    /** A request arrives and stays in progress. */
    readonly startRequest: () => void;
    readonly tick: () => void;
    readonly announce: () => void;
    /** Last report to the coordinator. */
    readonly getReport: () => PoolReportMessage | undefined;
    readonly buildAnnouncement: () => PoolAnnouncementMessage;
}

const defaultMembers = 15;
const slotTargets = 16;
/** Slots granted per target: in a pool that is not contended, a slot goes back with the end of each request. */
const plentyOfSlots = 1_000_000_000;
const waitingPerWorkspace = 3;

interface RunningAttempt {
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
}

export function createEntryHarness(sizes: EntrySizes): EntryHarness {
    const router = createRouterHarness({
        members: sizes.members ?? defaultMembers,
        workspaces: sizes.workspaces,
        targets: sizes.targets,
    });
    const pool = router.pools[0]!;
    const coordinator = router.reducer.membership.findCoordinator(pool).router;
    const running: RunningAttempt[] = [];
    let contended = false;
    let report: PoolReportMessage | undefined;
    let version = 0;
    let requests = 0;
    /** Workspaces of waiting requests, and the one that was dispatched last. */
    const workspaceOf = new Map<string, number>();
    let dispatched = 0;

    const readEffects = (effects: readonly Effect[]) => {
        for (const effect of effects) {
            if (effect.type === "sendToTarget") {
                running.push(effect);
                dispatched = workspaceOf.get(effect.requestId) ?? 0;
                workspaceOf.delete(effect.requestId);
            }
            else if (effect.type === "sendToPeer" && effect.message.type === "poolReport") { report = effect.message; }
        }
    };

    const buildAnnouncement = (): PoolAnnouncementMessage => {
        const targets = Array.from({ length: sizes.targets }, (_, index) => nameTarget(pool, index));
        return {
            type: "poolAnnouncement",
            pool,
            incarnation: router.identity.incarnation,
            version: ++version,
            reportSequence: report?.sequence ?? 0,
            granted: targets.slice(0, slotTargets).map(target => ({ target, generation: 1, total: plentyOfSlots })),
            poolVirtualTime: 0,
            virtualTimes: Array.from({ length: sizes.backlogged }, (_, index) => ({
                workspace: nameWorkspace(index),
                virtualTime: 1_000 + index,
            })),
            ceiling: Number.MAX_VALUE,
            contended,
            targets: targets.map(target => ({
                target,
                generation: 1,
                condition: "warm",
                limit: targetLimit,
                startId: "start-1",
            })),
        };
    };
    const announce = () => readEffects(router.receive(coordinator, buildAnnouncement()));
    const tick = () => readEffects(router.tick());

    const addRequest = (workspace: number) => {
        const id = `request-${++requests}`;
        workspaceOf.set(id, workspace);
        const request = {
            id,
            workspace: nameWorkspace(workspace),
            service: pool,
            idempotent: true,
            inputCost: 50,
            outputCostHint: 200,
            prefixHash: requests % 64,
        };
        readEffects(router.reduce({ type: "requestArrived", request }));
    };
    const endRequest = () => {
        const attempt = running.shift();
        if (attempt === undefined) throw new Error("No request is in progress.");
        const { requestId, attempt: number, target } = attempt;
        router.reduce({ type: "targetAccepted", requestId, attempt: number, target, startId: "start-1" });
        router.reduce({ type: "targetProgress", requestId, attempt: number, cost: 120 });
        readEffects(router.reduce({
            type: "targetEnded",
            requestId,
            attempt: number,
            target,
            result: "complete",
            sent: true,
            responseStarted: true,
            cost: 250,
            startId: "start-1",
        }));
    };

    const startPool = () => {
        tick();
        announce();
        // Every workspace is known after one request.
        for (let index = 0; index < sizes.workspaces; index++) {
            addRequest(index);
            if (running.length > targetLimit) endRequest();
        }
    };
    const startContention = () => {
        while (running.length < slotTargets) addRequest(0);
        // Free slots go back at once, so that only those in use remain and further requests wait.
        contended = true;
        tick();
        announce();
        for (let round = 0; round < waitingPerWorkspace; round++)
            for (let index = 0; index < sizes.backlogged; index++) addRequest(index);
        tick();
        announce();
    };
    startPool();
    if (sizes.backlogged > 0) startContention();

    let next = 0;
    const startRequest = () => {
        next = (next + 1) % sizes.workspaces;
        addRequest(next);
    };
    return {
        router,
        runRequest: () => {
            if (!contended) startRequest();
            endRequest();
            // The workspace that was served stays backlogged.
            if (contended) addRequest(dispatched);
        },
        startRequest,
        tick,
        announce,
        getReport: () => report,
        buildAnnouncement,
    };
}
