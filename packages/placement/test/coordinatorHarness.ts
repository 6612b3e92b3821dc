/** Placement coordinator with a fleet view, on a fake clock. */
import type { PlacementMessage, PlacementReplyMessage, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { createPartQuarantine } from "../src/createPartQuarantine.js";
import { createPlacementCoordinator } from "../src/createPlacementCoordinator.js";
import { createTargetNotices } from "../src/createTargetNotices.js";
import { createViewFixture } from "./viewFixture.js";
import type { ViewFixtureOptions } from "./viewFixture.js";

export function createCoordinatorHarness(opts: ViewFixtureOptions) {
    const { view, loadAll } = createViewFixture(opts);
    const targetNotices = createTargetNotices();
    const coordinator = createPlacementCoordinator({
        router: "r1",
        view,
        quarantine: createPartQuarantine(),
        targetNotices,
        computeColdLimit: perSecond => perSecond * 1.5 + 5,
    });
    const reduce = (event: PlacementEvent): readonly PlacementEffect[] => {
        view.reduce(event);
        return coordinator.reduce(event);
    };
    loadAll(reduce);

    const send = (message: PlacementMessage, now: number): readonly PlacementEffect[] =>
        reduce({ type: "routerMessage", from: "r2", address: "10.0.0.2:7400", message, now });

    const requestPlacement = (request: PlacementRequest, now: number): PlacementReplyMessage => {
        const effects = send({ type: "placementAsk", request }, now);
        const reply = effects.find(effect => effect.type === "sendToRouter")?.message;
        if (reply?.type !== "placementReply") throw new Error("The coordinator sent no placement reply.");
        return reply;
    };

    const sendNotice = (
        request: PlacementRequest,
        target: string,
        now: number,
        result?: "complete" | "unsent" | "cancelled",
    ): void => {
        const { requestId, service } = request;
        send({ type: "attemptNotice", requestId, service, target, latencyMs: 50, result }, now);
    };

    return { view, targetNotices, reduce, send, requestPlacement, sendNotice };
}
