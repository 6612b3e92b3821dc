/**
 * Asks peers for a newer confirmation. Requests are probes, which every router acknowledges with its digest. The digest
 * counts as of the time at which the probe was sent, so that a delayed acknowledgement cannot appear current.
 */
import type { Member } from "@rhubarbwheel/types/slices";

import {
    confirmAfterMs,
    minConfirmIntervalMs,
    pollsPerTick,
    staleAfterMs,
    suspectAfterMs,
    urgentAfterMs,
    urgentPollsPerTick,
} from "./configurationSettings.js";

export interface DigestConfirmer {
    /** Sends the probes that are due. */
    readonly advance: (now: number, ages: ConfirmationAges, sources: readonly string[]) => void;
    /** Time at which the probe was sent; `undefined` if this slice did not send it or no longer remembers it. */
    readonly getSentAt: (sequence: number) => number | undefined;
}

export interface ConfirmationAges {
    /** Age of the confirmation by the store. */
    readonly storeAgeMs: number;
    /** Age of the confirmation, including one by a majority that reports an outage. */
    readonly ageMs: number;
}

export interface DigestConfirmerOptions {
    readonly self: string;
    readonly random: () => number;
    readonly listRoutable: () => readonly Member[];
    readonly getMember: (router: string) => Member | undefined;
    readonly sendProbe: (to: Member, sequence: number) => void;
}

export function createDigestConfirmer(opts: DigestConfirmerOptions): DigestConfirmer {
    const sentProbes = new Map<number, number>();
    // Odd sequence numbers, because the membership slice uses even ones and receives the same acknowledgements.
    let lastSequence = 2 * Math.floor(opts.random() * 2 ** 29) + 1;
    let lastSourceProbeAt = -Infinity;
    let sourceProbeCount = 0;
    let pollPosition = 0;

    const probe = (to: Member | undefined, now: number) => {
        if (to === undefined || to.router === opts.self) return;
        lastSequence += 2;
        sentProbes.set(lastSequence, now);
        opts.sendProbe(to, lastSequence);
    };

    const chooseRandom = () => {
        const routable = opts.listRoutable();
        return routable[Math.floor(opts.random() * routable.length)];
    };

    /** Polls the members in round-robin order, so that few probes are needed for a majority. */
    const poll = (now: number, count: number) => {
        const routable = opts.listRoutable();
        for (let index = 0; index < count; index++) {
            pollPosition = (pollPosition + 1) % routable.length;
            probe(routable[pollPosition], now);
        }
    };

    /** Probes one of the sources, and a random router every third time or if there is no source. */
    const probeSource = (now: number, sources: readonly string[]) => {
        if (now - lastSourceProbeAt < minConfirmIntervalMs) return;
        lastSourceProbeAt = now;
        sourceProbeCount += 1;
        const source = sources[Math.floor(opts.random() * sources.length)];
        const useSource = source !== undefined && sourceProbeCount % 3 !== 0;
        probe(useSource ? opts.getMember(source) : chooseRandom(), now);
    };

    return {
        advance: (now, { storeAgeMs, ageMs }, sources) => {
            for (const [sequence, sentAt] of sentProbes) {
                if (now - sentAt <= staleAfterMs) break;
                sentProbes.delete(sequence);
            }
            if (storeAgeMs >= suspectAfterMs) poll(now, ageMs >= urgentAfterMs ? urgentPollsPerTick : pollsPerTick);
            else if (ageMs >= confirmAfterMs) probeSource(now, sources);
        },
        getSentAt: sequence => sentProbes.get(sequence),
    };
}
