/** A coordinator with a fleet view, on a fake clock; engines read prompts in order at a fixed rate. */
import type { PlacementMessage, PlacementReplyMessage, PlacementRequest } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, PlacementEvent } from "@rhubarbwheel/types/placement-events";
import { createPlacementCoordinator } from "../src/createPlacementCoordinator.js";
import { createViewFixture } from "./viewFixture.js";
import type { ViewFixtureOptions } from "./viewFixture.js";

export function createCoordinatorHarness(opts: ViewFixtureOptions) {
    const { view, listAll } = createViewFixture(opts);
    const coordinator = createPlacementCoordinator({ router: "r1", view });
    const reduce = (event: PlacementEvent): readonly PlacementEffect[] => {
        view.reduce(event);
        return coordinator.reduce(event);
    };
    listAll(reduce);

    const send = (message: PlacementMessage, now: number): readonly PlacementEffect[] =>
        reduce({ type: "routerMessage", from: "r2", address: "10.0.0.2:7400", message, now });

    const ask = (request: PlacementRequest, now: number): PlacementReplyMessage => {
        const effects = send({ type: "placementAsk", request }, now);
        const reply = effects.find(effect => effect.type === "sendToRouter")?.message;
        if (reply?.type !== "placementReply") throw new Error("There is no reply.");
        return reply;
    };

    const notify = (request: PlacementRequest, target: string, now: number, result?: "complete" | "unsent"): void => {
        const { requestId, service } = request;
        send({ type: "attemptNotice", requestId, service, target, latencyMs: 50, result }, now);
    };

    return { view, reduce, send, ask, notify };
}
