/** Probe rounds: schedules direct and indirect probes, and suspects members that do not acknowledge them. */
import type { ProbeMessage, ProbeRequestMessage } from "@rhubarbwheel/types/peer-messages";
import type { RouterIdentity } from "@rhubarbwheel/types/slices";

import { type Candidate, isRoutable, type MemberTable } from "./createMemberTable.js";
import {
    candidateProbeAttempts,
    candidateProbesPerRound,
    directProbeTimeoutMs,
    indirectProbeCount,
    probeIntervalMs,
    probeTimeoutMs,
    rejoinProbeIntervalRounds,
    sentProbeTtlMs,
} from "./membershipSettings.js";
import { shuffleInPlace } from "./shuffleInPlace.js";

interface SentProbe {
    readonly router: string;
    readonly sentAt: number;
    progress: "direct" | "indirect" | "ended";
}

export interface Prober {
    /** Handles probe timeouts, and starts a round when one is due. */
    readonly advance: (now: number) => void;
    /** Records a direct or indirect acknowledgement of the member. */
    readonly acknowledge: (sequence: number, router: string) => void;
    /** Sends a probe outside the rounds; returns its sequence number. */
    readonly probe: (peer: Candidate, now: number) => number;
    /** Sends a probe on behalf of another member; its timeout has no effect here. */
    readonly probeOnBehalf: (peer: Candidate, now: number) => number;
    /** Asks other members for indirect probes of the member at once. */
    readonly probeIndirectly: (router: string, sequence: number) => void;
    /** Queues candidates for the probes that each round reserves for new ones. */
    readonly addCandidates: (candidates: readonly Candidate[]) => void;
    /** Inserts a member into the current probe order at a random position. */
    readonly addMember: (router: string) => void;
    /** Ends all outstanding probes, after a pause of this process. */
    readonly reset: () => void;
    /** Time at which a probe of this router was sent; `undefined` if the probe is unknown or no longer remembered. */
    readonly getSentAt: (sequence: number) => number | undefined;
}

export interface ProberOptions {
    readonly identity: RouterIdentity;
    readonly table: MemberTable;
    readonly random: () => number;
    readonly sendProbe: (to: Candidate, message: Omit<ProbeMessage, "updates" | "digest">) => void;
    readonly sendRequest: (to: Candidate, message: Omit<ProbeRequestMessage, "updates">) => void;
    readonly suspect: (router: string) => void;
}

export function createProber(opts: ProberOptions): Prober {
    const { identity, table, random } = opts;
    const sentProbes = new Map<number, SentProbe>();
    // Probes of this slice have even sequence numbers, those of the configuration slice odd ones. The random start
    // prevents a match with acknowledgements for the previous process of this router.
    let lastSequence = 2 * Math.floor(random() * 2 ** 29);
    let probeOrder: string[] = [];
    let roundCount = 0;
    let nextRoundAt: number | undefined;
    let newCandidates: { candidate: Candidate; attempts: number; }[] = [];

    const send = (peer: Candidate, now: number, progress: SentProbe["progress"]): number => {
        lastSequence += 2;
        sentProbes.set(lastSequence, { router: peer.router, sentAt: now, progress });
        opts.sendProbe(peer, { type: "probe", sequence: lastSequence });
        return lastSequence;
    };

    const probe = (peer: Candidate, now: number) => send(peer, now, "direct");

    const chooseHelpers = (router: string): readonly Candidate[] => {
        const routable = table.listRoutable();
        const helpers = new Set<Candidate>();
        // A bounded number of random picks, rather than a shuffled copy, makes the cost independent of the fleet size.
        for (let pick = 0; pick < 4 * indirectProbeCount && helpers.size < indirectProbeCount; pick++) {
            const helper = routable[Math.floor(random() * routable.length)];
            if (helper !== undefined && helper.router !== router && helper.router !== identity.router)
                helpers.add(helper);
        }
        return [...helpers];
    };

    const probeIndirectly = (router: string, sequence: number) => {
        for (const helper of chooseHelpers(router))
            opts.sendRequest(helper, { type: "probeRequest", sequence, router });
    };

    const handleTimeouts = (now: number) => {
        for (const [sequence, entry] of sentProbes) {
            const age = now - entry.sentAt;
            if (age >= sentProbeTtlMs) sentProbes.delete(sequence);
            if (entry.progress === "direct" && age >= directProbeTimeoutMs) {
                entry.progress = "indirect";
                if (isRoutable(table.get(entry.router))) probeIndirectly(entry.router, sequence);
            }
            else if (entry.progress === "indirect" && age >= probeTimeoutMs) {
                entry.progress = "ended";
                opts.suspect(entry.router);
            }
        }
    };

    /** Takes the next member in round-robin order; when all have been probed, they are shuffled again. */
    const takeNextMember = (): Candidate | undefined => {
        for (let shuffles = 0; shuffles < 2;) {
            const router = probeOrder.pop();
            const member = router === undefined ? undefined : table.get(router);
            if (member !== undefined && isRoutable(member)) return member;
            if (router !== undefined) continue;
            shuffles += 1;
            probeOrder = table.listRoutable().map(entry => entry.router).filter(name => name !== identity.router);
            shuffleInPlace(probeOrder, random);
        }
        return undefined;
    };

    const probeNewCandidates = (now: number) => {
        const batch = newCandidates.slice(0, candidateProbesPerRound);
        newCandidates = newCandidates.slice(candidateProbesPerRound);
        for (const { candidate, attempts } of batch) {
            if (table.get(candidate.router) !== undefined) continue;
            probe(candidate, now);
            if (attempts + 1 < candidateProbeAttempts) newCandidates.push({ candidate, attempts: attempts + 1 });
        }
    };

    const probeUnreachable = (now: number) => {
        const unreachable = table.listUnreachable();
        const candidate = unreachable[Math.floor(random() * unreachable.length)];
        if (candidate !== undefined) probe(candidate, now);
    };

    const startRound = (now: number) => {
        roundCount += 1;
        const next = takeNextMember();
        if (next !== undefined) probe(next, now);
        probeNewCandidates(now);
        if (next === undefined || roundCount % rejoinProbeIntervalRounds === 0) probeUnreachable(now);
    };

    return {
        advance: now => {
            handleTimeouts(now);
            nextRoundAt ??= now + Math.floor(random() * probeIntervalMs);
            if (now < nextRoundAt) return;
            nextRoundAt = Math.max(nextRoundAt + probeIntervalMs, now + probeIntervalMs / 2);
            startRound(now);
        },
        acknowledge: (sequence, router) => {
            const entry = sentProbes.get(sequence);
            if (entry?.router === router) entry.progress = "ended";
        },
        probe,
        // Starts as ended, because otherwise each helper would ask two more helpers on a timeout, and so on.
        probeOnBehalf: (peer, now) => send(peer, now, "ended"),
        probeIndirectly,
        addCandidates: candidates => {
            newCandidates.push(...candidates.map(candidate => ({ candidate, attempts: 0 })));
        },
        addMember: router => {
            probeOrder.splice(Math.floor(random() * (probeOrder.length + 1)), 0, router);
        },
        reset: () => {
            for (const entry of sentProbes.values()) entry.progress = "ended";
        },
        getSentAt: sequence => sentProbes.get(sequence)?.sentAt,
    };
}
