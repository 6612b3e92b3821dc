/** An entry router with requests in progress and a simulated coordinator. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { PoolAnnouncementMessage, PoolReportMessage } from "@rhubarbwheel/types/peer-messages";
import { createRouterHarness, getTargetName, getWorkspaceName, targetLimit } from "./createRouterHarness.js";
import type { RouterHarness } from "./createRouterHarness.js";

export interface EntrySizes {
    /** Number of workspaces that have sent a request to this router. */
    readonly workspaces: number;
    /** Number of workspaces with queued requests. */
    readonly backlogged: number;
    readonly targets: number;
    readonly members?: number;
}

export interface EntryHarness {
    readonly router: RouterHarness;
    /** Runs one request from arrival to end; with a backlog, its slot then serves a queued request. */
    readonly runRequest: () => void;
    /** Adds a request that stays in progress. */
    readonly startRequest: () => void;
    readonly tick: () => void;
    readonly announce: () => void;
    /** Returns the last report to the coordinator. */
    readonly getReport: () => PoolReportMessage | undefined;
    readonly createAnnouncement: () => PoolAnnouncementMessage;
}

const defaultMemberCount = 15;
const grantedTargetCount = 16;
/** Slots granted per target. In an uncontended pool each request returns its slot, so the grant must not run out. */
const unlimitedSlots = 1_000_000_000;
const queuedPerWorkspace = 3;

interface InFlightAttempt {
    readonly requestId: string;
    readonly attempt: number;
    readonly target: string;
}

export function createEntryHarness(sizes: EntrySizes): EntryHarness {
    const router = createRouterHarness({
        members: sizes.members ?? defaultMemberCount,
        workspaces: sizes.workspaces,
        targets: sizes.targets,
    });
    const pool = router.pools[0]!;
    const coordinator = router.reducer.membership.findCoordinator(pool).router;
    const inFlightAttempts: InFlightAttempt[] = [];
    let contended = false;
    let report: PoolReportMessage | undefined;
    let version = 0;
    let requestCount = 0;
    /** Workspace of each queued request, by request id. */
    const queuedWorkspaces = new Map<string, number>();
    let lastDispatchedWorkspace = 0;

    const handleEffects = (effects: readonly Effect[]) => {
        for (const effect of effects) {
            if (effect.type === "sendToTarget") {
                inFlightAttempts.push(effect);
                lastDispatchedWorkspace = queuedWorkspaces.get(effect.requestId) ?? 0;
                queuedWorkspaces.delete(effect.requestId);
            }
            else if (effect.type === "sendToPeer" && effect.message.type === "poolReport") { report = effect.message; }
        }
    };

    const createAnnouncement = (): PoolAnnouncementMessage => {
        const targets = Array.from({ length: sizes.targets }, (_, index) => getTargetName(pool, index));
        return {
            type: "poolAnnouncement",
            pool,
            incarnation: router.identity.incarnation,
            version: ++version,
            reportSequence: report?.sequence ?? 0,
            granted: targets.slice(0, grantedTargetCount).map(target => ({
                target,
                generation: 1,
                total: unlimitedSlots,
            })),
            poolVirtualTime: 0,
            virtualTimes: Array.from({ length: sizes.backlogged }, (_, index) => ({
                workspace: getWorkspaceName(index),
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
    const announce = () => handleEffects(router.receive(coordinator, createAnnouncement()));
    const tick = () => handleEffects(router.tick());

    const addRequest = (workspace: number) => {
        const id = `request-${++requestCount}`;
        queuedWorkspaces.set(id, workspace);
        const request = {
            id,
            workspace: getWorkspaceName(workspace),
            service: pool,
            idempotent: true,
            inputCost: 50,
            outputCostHint: 200,
            prefixHash: requestCount % 64,
        };
        handleEffects(router.reduce({ type: "requestArrived", request }));
    };
    const endRequest = () => {
        const attempt = inFlightAttempts.shift();
        if (attempt === undefined) throw new Error("no request is in progress");
        const { requestId, attempt: attemptNumber, target } = attempt;
        router.reduce({ type: "targetAccepted", requestId, attempt: attemptNumber, target, startId: "start-1" });
        router.reduce({ type: "targetProgress", requestId, attempt: attemptNumber, cost: 120 });
        handleEffects(router.reduce({
            type: "targetEnded",
            requestId,
            attempt: attemptNumber,
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
        // The router knows a workspace after its first request.
        for (let index = 0; index < sizes.workspaces; index++) {
            addRequest(index);
            if (inFlightAttempts.length > targetLimit) endRequest();
        }
    };
    const startContention = () => {
        while (inFlightAttempts.length < grantedTargetCount) addRequest(0);
        // The router returns free slots at once, so that only those in use remain and further requests are queued.
        contended = true;
        tick();
        announce();
        for (let round = 0; round < queuedPerWorkspace; round++)
            for (let index = 0; index < sizes.backlogged; index++) addRequest(index);
        tick();
        announce();
    };
    startPool();
    if (sizes.backlogged > 0) startContention();

    let nextWorkspace = 0;
    const startRequest = () => {
        nextWorkspace = (nextWorkspace + 1) % sizes.workspaces;
        addRequest(nextWorkspace);
    };
    return {
        router,
        runRequest: () => {
            if (!contended) startRequest();
            endRequest();
            // Keeps the served workspace backlogged.
            if (contended) addRequest(lastDispatchedWorkspace);
        },
        startRequest,
        tick,
        announce,
        getReport: () => report,
        createAnnouncement,
    };
}
