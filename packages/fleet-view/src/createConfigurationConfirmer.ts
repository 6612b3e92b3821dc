/**
 * Slice that has the configuration confirmed by other routers while the store does not answer this one, and answers other
 * routers that ask. A confirmation is as old as what the other router knows, counted from when it was asked, so a
 * revoked credential is refused as early as without it.
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

/** Numbers of the log events of confirmations between routers. */
export const confirmerLogEvents = { confirmedByRouter: 1611 } as const;

/** Age above which others are asked; a watch of the configuration confirms it every 2.5 s while the store answers. */
const askAboveMs = 3_000;

/** Pause between two rounds of questions; three rounds fit in before credentials are no longer accepted. */
const askIntervalMs = 400;

/** Routers that are asked in one round; one of them may be cut off from the store too. */
const askedPerRound = 2;

/** Questions that are remembered, those of two rounds; a later reply confirms nothing that a newer one does not confirm better. */
const rememberedQuestions = 2 * askedPerRound;

function selectSome<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    const left = [...items];
    const drawn: T[] = [];
    while (drawn.length < count && left.length > 0) drawn.push(...left.splice(Math.floor(random() * left.length), 1));
    return drawn;
}

export function createConfigurationConfirmer(opts: ConfigurationConfirmerOptions): PlacementSlice {
    const { view } = opts;
    /** Time at which each open question was asked. */
    const askedAt = new Map<number, number>();
    let sequence = 0;
    let askAt = Infinity;
    let isConfirmedByOthers = false;
    let effects: PlacementEffect[] = [];

    const send = (to: Pick<RouterEntry, "router" | "address">, message: PlacementMessage): void => {
        effects.push({ type: "sendToRouter", router: to.router, address: to.address, message });
    };

    const askOthers = (now: number): void => {
        const others = view.listRouters().filter(entry => entry.router !== opts.router);
        for (const other of selectSome(others, askedPerRound, opts.random)) {
            sequence += 1;
            askedAt.set(sequence, now);
            send(other, { type: "confirmationAsk", sequence });
        }
        for (const known of askedAt.keys()) if (known <= sequence - rememberedQuestions) askedAt.delete(known);
    };

    const answer = (to: { readonly from: string; readonly address: string; }, asked: number, now: number): void => {
        const version = view.getConfiguration()?.version;
        const ageMs = view.getAgeMs("configuration", now);
        if (version === undefined || ageMs === Infinity) return;
        const reply = { type: "confirmationReply", sequence: asked, configurationVersion: version, ageMs } as const;
        send({ router: to.from, address: to.address }, reply);
    };

    const readReply = (from: string, reply: ConfirmationReplyMessage, now: number): void => {
        const sentAt = askedAt.get(reply.sequence);
        askedAt.delete(reply.sequence);
        const version = view.getConfiguration()?.version;
        // Another version: the newer one has not arrived here, so what is held here may have been revoked.
        if (sentAt === undefined || version !== reply.configurationVersion || !(reply.ageMs >= 0)) return;
        const confirmedAt = sentAt - reply.ageMs;
        effects.push({ type: "raise", event: { type: "configurationConfirmed", version, confirmedAt, now } });
        if (isConfirmedByOthers) return;
        isConfirmedByOthers = true;
        const fields = { router: from, version, ageMs: Math.round(now - confirmedAt) };
        effects.push({ type: "log", event: confirmerLogEvents.confirmedByRouter, fields });
    };

    const handleEvent = (event: PlacementEvent): void => {
        if (event.type === "clockJumped") {
            // Time may have passed that the monotonic clock does not show.
            askedAt.clear();
            askAt = event.now;
        }
        else if (event.type === "viewListed" || event.type === "viewChanged") {
            if (event.kind !== "configuration") return;
            isConfirmedByOthers = false;
            askAt = event.confirmedAt + askAboveMs;
        }
        else if (event.type === "routerMessage") {
            const { message } = event;
            if (message.type === "confirmationAsk") answer(event, message.sequence, event.now);
            else if (message.type === "confirmationReply") readReply(event.from, message, event.now);
        }
    };

    return {
        reduce: event => {
            effects = [];
            handleEvent(event);
            if (event.now >= askAt) {
                askOthers(event.now);
                askAt = event.now + askIntervalMs;
            }
            return effects;
        },
        getWakeAt: () => askAt,
    };
}
