/**
 * Asks peers for a newer confirmation. Questions are probes, which every router answers with its digest; an answer counts
 * as of the time of the question, so that a delayed answer cannot pass for a current one.
 */
import type { Member } from "@rhubarbwheel/types/slices";

import {
    confirmAfterMs,
    confirmSpacingMs,
    pollsPerTick,
    staleAfterMs,
    suspectAfterMs,
    urgentAfterMs,
    urgentPollsPerTick,
} from "./configurationSettings.js";

export interface DigestConfirmer {
    /** Sends the questions that are due. */
    readonly advance: (now: number, ages: ConfirmationAges, sources: readonly string[]) => void;
    /** Time at which the question was sent; `undefined` if it is not one of this router's or long past. */
    readonly getSentAt: (sequence: number) => number | undefined;
}

export interface ConfirmationAges {
    /** Age of the confirmation by the store. */
    readonly storeAge: number;
    /** Age of the confirmation, an agreed outage included. */
    readonly age: number;
}

export interface DigestConfirmerOptions {
    readonly self: string;
    readonly random: () => number;
    readonly listRoutable: () => readonly Member[];
    readonly getMember: (router: string) => Member | undefined;
    readonly ask: (to: Member, sequence: number) => void;
}

export function createDigestConfirmer(opts: DigestConfirmerOptions): DigestConfirmer {
    const sent = new Map<number, number>();
    // Odd sequence numbers, because the membership slice uses even ones and sees the same answers.
    let lastSequence = 2 * Math.floor(opts.random() * 2 ** 29) + 1;
    let lastAskedAt = -Infinity;
    let asked = 0;
    let position = 0;

    const ask = (to: Member | undefined, now: number) => {
        if (to === undefined || to.router === opts.self) return;
        lastSequence += 2;
        sent.set(lastSequence, now);
        opts.ask(to, lastSequence);
    };

    const chooseRandom = () => {
        const routable = opts.listRoutable();
        return routable[Math.floor(opts.random() * routable.length)];
    };

    /** Visits the members in turn, so that a majority is reached with few questions. */
    const poll = (now: number, count: number) => {
        const routable = opts.listRoutable();
        for (let index = 0; index < count; index++) {
            position = (position + 1) % routable.length;
            ask(routable[position], now);
        }
    };

    const askSource = (now: number, sources: readonly string[]) => {
        if (now - lastAskedAt < confirmSpacingMs) return;
        lastAskedAt = now;
        asked += 1;
        const source = sources[Math.floor(opts.random() * sources.length)];
        const useSource = source !== undefined && asked % 3 !== 0;
        ask(useSource ? opts.getMember(source) : chooseRandom(), now);
    };

    return {
        advance: (now, { storeAge, age }, sources) => {
            for (const [sequence, sentAt] of sent) {
                if (now - sentAt <= staleAfterMs) break;
                sent.delete(sequence);
            }
            if (storeAge >= suspectAfterMs) poll(now, age >= urgentAfterMs ? urgentPollsPerTick : pollsPerTick);
            else if (age >= confirmAfterMs) askSource(now, sources);
        },
        getSentAt: sequence => sent.get(sequence),
    };
}
