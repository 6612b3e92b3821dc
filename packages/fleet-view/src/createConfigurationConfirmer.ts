/**
 * Slice that asks other routers to confirm the configuration while this router cannot reach the store, and replies to
 * their requests. The age in a reply counts from the time at which the request was sent, so a revoked credential is
 * refused no later than without a confirmation.
 */
import type { ConfirmationReplyMessage } from "@rhubarbwheel/types/confirmation";
import type { RouterEntry } from "@rhubarbwheel/types/fleet";
import type { PlacementMessage } from "@rhubarbwheel/types/placement";
import type { PlacementEffect, PlacementEvent, PlacementSlice } from "@rhubarbwheel/types/placement-events";
import type { FleetView } from "./createFleetView.js";

export interface ConfigurationConfirmerOptions {
    /** Name of this router. */
    readonly router: string;
    readonly view: FleetView;
    /** Random number in [0, 1). */
    readonly random: () => number;
}

/** Event numbers of the confirmer's log events. */
export const confirmerLogEvents = { confirmedByRouter: 1611 } as const;

/** Age at which other routers are asked. A watch of a reachable store confirms the configuration every 2.5 s. */
const confirmAfterMs = 3_000;

/** Interval between rounds of requests; three rounds fit in before credentials are no longer accepted. */
const requestIntervalMs = 400;

/** Routers asked per round: more than one, because another router may have lost the store too. */
const requestsPerRound = 2;

/** Requests of two rounds. A reply to an older one is of no use, because a newer reply gives a later confirmation. */
const maxPendingRequests = 2 * requestsPerRound;

function chooseRandom<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    const remaining = [...items];
    const selected: T[] = [];
    while (selected.length < count && remaining.length > 0)
        selected.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
    return selected;
}

export function createConfigurationConfirmer(opts: ConfigurationConfirmerOptions): PlacementSlice {
    const { view } = opts;
    /** Time at which each pending request was sent, by sequence number. */
    const requestSentAt = new Map<number, number>();
    let sequence = 0;
    let nextRequestAt = Infinity;
    let isConfirmedByRouter = false;
    let effects: PlacementEffect[] = [];

    const send = (to: Pick<RouterEntry, "router" | "address">, message: PlacementMessage): void => {
        effects.push({ type: "sendToRouter", router: to.router, address: to.address, message });
    };

    const sendRequests = (now: number): void => {
        const others = view.listRouters().filter(entry => entry.router !== opts.router);
        for (const other of chooseRandom(others, requestsPerRound, opts.random)) {
            sequence += 1;
            requestSentAt.set(sequence, now);
            send(other, { type: "confirmationAsk", sequence });
        }
        for (const pending of requestSentAt.keys())
            if (pending <= sequence - maxPendingRequests) requestSentAt.delete(pending);
    };

    const sendReply = (
        to: { readonly from: string; readonly address: string; },
        requestSequence: number,
        now: number,
    ): void => {
        const version = view.getConfiguration()?.version;
        const ageMs = view.getAgeMs("configuration", now);
        if (version === undefined || ageMs === Infinity) return;
        const reply = {
            type: "confirmationReply",
            sequence: requestSequence,
            configurationVersion: version,
            ageMs,
        } as const;
        send({ router: to.from, address: to.address }, reply);
    };

    const handleReply = (from: string, reply: ConfirmationReplyMessage, now: number): void => {
        const sentAt = requestSentAt.get(reply.sequence);
        requestSentAt.delete(reply.sequence);
        const version = view.getConfiguration()?.version;
        // If the versions differ, this router may lack a newer one that revokes a credential.
        if (sentAt === undefined || version !== reply.configurationVersion || !(reply.ageMs >= 0)) return;
        const confirmedAt = sentAt - reply.ageMs;
        effects.push({ type: "raise", event: { type: "configurationConfirmed", version, confirmedAt, now } });
        if (isConfirmedByRouter) return;
        isConfirmedByRouter = true;
        const fields = { router: from, version, ageMs: Math.round(now - confirmedAt) };
        effects.push({ type: "log", event: confirmerLogEvents.confirmedByRouter, fields });
    };

    const handleEvent = (event: PlacementEvent): void => {
        if (event.type === "clockJumped") {
            // The monotonic clock may have stood still while the host was suspended, so request times are invalid.
            requestSentAt.clear();
            nextRequestAt = event.now;
        }
        else if (event.type === "viewListed" || event.type === "viewChanged") {
            if (event.kind !== "configuration") return;
            isConfirmedByRouter = false;
            nextRequestAt = event.confirmedAt + confirmAfterMs;
        }
        else if (event.type === "routerMessage") {
            const { message } = event;
            if (message.type === "confirmationAsk") sendReply(event, message.sequence, event.now);
            else if (message.type === "confirmationReply") handleReply(event.from, message, event.now);
        }
    };

    return {
        reduce: event => {
            effects = [];
            handleEvent(event);
            if (event.now >= nextRequestAt) {
                sendRequests(event.now);
                nextRequestAt = event.now + requestIntervalMs;
            }
            return effects;
        },
        getWakeAt: () => nextRequestAt,
    };
}
