/** Entry router with a fleet view, on a fake clock. Without other routers it places requests locally. */
import type {
    AttemptFinishedEvent,
    PlacementEffect,
    PlacementEvent,
    RoutedRequest,
    StartAttemptEffect,
} from "@rhubarbwheel/types/placement-events";
import { createCoordinatorSelector } from "../src/createCoordinatorSelector.js";
import { createEntryRouter } from "../src/createEntryRouter.js";
import { createPartQuarantine } from "../src/createPartQuarantine.js";
import { createServiceVersions } from "../src/createServiceVersions.js";
import { createTargetBreaker } from "../src/createTargetBreaker.js";
import { createTargetNotices } from "../src/createTargetNotices.js";
import { createViewFixture } from "./viewFixture.js";
import type { ViewFixtureOptions } from "./viewFixture.js";

let lastRequestNumber = 0;

export function createRoutedRequest(more: Partial<RoutedRequest> = {}): RoutedRequest {
    const requestId = `routed-${++lastRequestNumber}`;
    return {
        requestId,
        callerId: `caller-${requestId}`,
        route: "route",
        service: "orders",
        workspace: "ada",
        kind: "idempotent",
        resumable: false,
        maxAttempts: 2,
        latencyTargetMs: 200,
        timeLimitMs: 1_200,
        ...more,
    };
}

export function createEntryHarness(
    opts: ViewFixtureOptions & { readonly reserve?: number; readonly router?: string; },
) {
    const { view, loadAll } = createViewFixture(opts);
    const targetNotices = createTargetNotices();
    const serviceVersions = createServiceVersions({ view, isFirstByRank: () => false });
    const entry = createEntryRouter({
        router: opts.router ?? "r1",
        failureDomain: "a",
        view,
        getRetryPolicy: () => ({ ratio: 0.2, reserve: opts.reserve ?? 100, windowMs: 10_000 }),
        computeColdLimit: perSecond => perSecond * 1.5 + 5,
        random: () => 0,
        getShutdownGraceMs: () => 8_000,
        quarantine: createPartQuarantine(),
        targetNotices,
        targetBreaker: createTargetBreaker(),
        serviceVersions,
    });
    const reduce = (event: PlacementEvent): readonly PlacementEffect[] => {
        view.reduce(event);
        const effects = serviceVersions.reduce(event);
        return [...effects, ...entry.reduce(event)];
    };
    loadAll(reduce);

    const finish = (
        attempt: StartAttemptEffect,
        now: number,
        more: Partial<AttemptFinishedEvent>,
    ): readonly PlacementEffect[] =>
        reduce({
            type: "attemptFinished",
            requestId: attempt.requestId,
            attempt: attempt.attempt,
            result: "complete",
            responseStarted: false,
            now,
            ...more,
        });

    return {
        view,
        targetNotices,
        entry,
        reduce,
        finish,
        /** Router to which the first placement request is sent. */
        findCoordinator: (service: string, now: number) => {
            const found = createCoordinatorSelector({
                router: "r1",
                listRouters: view.listRouters,
                getListPosition: () => view.getPosition("routers"),
            }).find(service, now);
            if (found === undefined) throw new Error("No coordinator was selected.");
            return found;
        },
        route: (request: RoutedRequest, now: number) => reduce({ type: "requestRouted", request, now }),
    };
}

export function findAttempt(effects: readonly PlacementEffect[]): StartAttemptEffect {
    const found = effects.find(effect => effect.type === "startAttempt");
    if (found === undefined) throw new Error(`No attempt was started: ${formatEffects(effects)}`);
    return found;
}

/** Describes all effects except log lines in one line. */
export function formatEffects(effects: readonly PlacementEffect[]): string {
    return effects.flatMap(effect => {
        if (effect.type === "log") return [];
        if (effect.type === "startAttempt") return [`start ${effect.target} for ${Math.round(effect.timeLimitMs)} ms`];
        if (effect.type === "failRequest") return [`fail ${effect.code}`];
        return [effect.type];
    }).join(", ");
}
