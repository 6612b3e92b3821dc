/** Probe rounds: which member is probed when, and what follows when no acknowledgement arrives. */
import type { ProbeMessage, ProbeRequestMessage } from "@rhubarbwheel/types/peer-messages";
import type { RouterIdentity } from "@rhubarbwheel/types/slices";

import { type Candidate, isRoutable, type MemberTable } from "./createMemberTable.js";
import {
    candidateProbeAttempts,
    candidateProbesPerRound,
    directTimeoutMs,
    indirectProbeCount,
    probeIntervalMs,
    probeMemoryMs,
    probeTimeoutMs,
    rejoinProbeRounds,
} from "./membershipSettings.js";
import { shuffleInPlace } from "./shuffleInPlace.js";

interface SentProbe {
    readonly router: string;
    readonly sentAt: number;
    progress: "direct" | "indirect" | "ended";
}

export interface Prober {
    /** Handles timeouts and starts a round when one is due. */
    readonly advance: (now: number) => void;
    /** Records an acknowledgement of the member's own or through another member. */
    readonly acknowledge: (sequence: number, router: string) => void;
    /** Sends a probe outside of the rounds; returns its sequence number. */
    readonly probe: (peer: Candidate, now: number) => number;
    /** Sends a probe on behalf of another member; nothing follows if it is not acknowledged. */
    readonly probeOnBehalf: (peer: Candidate, now: number) => number;
    /** Asks others to probe the member at once. */
    readonly probeIndirectly: (router: string, sequence: number) => void;
    /** Puts new candidates first in line. */
    readonly addCandidates: (candidates: readonly Candidate[]) => void;
    /** Adds a member to the current pass at a random position. */
    readonly addMember: (router: string) => void;
    /** Forgets outstanding probes after a pause of this process. */
    readonly reset: () => void;
    /** Time at which a probe of this router was sent; `undefined` if it is unknown or long past. */
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
    const sent = new Map<number, SentProbe>();
    // Probes of this slice carry even sequence numbers, those of the configuration slice odd ones. The random start
    // keeps acknowledgements of a previous process of this router from matching.
    let lastSequence = 2 * Math.floor(random() * 2 ** 29);
    let pass: string[] = [];
    let roundCount = 0;
    let nextRoundAt: number | undefined;
    let newCandidates: { candidate: Candidate; attempts: number; }[] = [];

    const send = (peer: Candidate, now: number, progress: SentProbe["progress"]): number => {
        lastSequence += 2;
        sent.set(lastSequence, { router: peer.router, sentAt: now, progress });
        opts.sendProbe(peer, { type: "probe", sequence: lastSequence });
        return lastSequence;
    };

    const probe = (peer: Candidate, now: number) => send(peer, now, "direct");

    const chooseHelpers = (router: string): readonly Candidate[] => {
        const routable = table.listRoutable();
        const helpers = new Set<Candidate>();
        // A bounded number of draws instead of a shuffled copy keeps the cost independent of the fleet.
        for (let draw = 0; draw < 4 * indirectProbeCount && helpers.size < indirectProbeCount; draw++) {
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
        for (const [sequence, entry] of sent) {
            const age = now - entry.sentAt;
            if (age >= probeMemoryMs) sent.delete(sequence);
            if (entry.progress === "direct" && age >= directTimeoutMs) {
                entry.progress = "indirect";
                if (isRoutable(table.get(entry.router))) probeIndirectly(entry.router, sequence);
            }
            else if (entry.progress === "indirect" && age >= probeTimeoutMs) {
                entry.progress = "ended";
                opts.suspect(entry.router);
            }
        }
    };

    /** Takes the next member of the pass; a new pass visits all members in a new order. */
    const takeNext = (): Candidate | undefined => {
        for (let restarts = 0; restarts < 2;) {
            const router = pass.pop();
            const member = router === undefined ? undefined : table.get(router);
            if (member !== undefined && isRoutable(member)) return member;
            if (router !== undefined) continue;
            restarts += 1;
            pass = table.listRoutable().map(entry => entry.router).filter(name => name !== identity.router);
            shuffleInPlace(pass, random);
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

    const probeUnreached = (now: number) => {
        const unreached = table.listUnreached();
        const candidate = unreached[Math.floor(random() * unreached.length)];
        if (candidate !== undefined) probe(candidate, now);
    };

    const startRound = (now: number) => {
        roundCount += 1;
        const next = takeNext();
        if (next !== undefined) probe(next, now);
        probeNewCandidates(now);
        if (next === undefined || roundCount % rejoinProbeRounds === 0) probeUnreached(now);
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
            const entry = sent.get(sequence);
            if (entry?.router === router) entry.progress = "ended";
        },
        probe,
        // Without this distinction each helper would ask two more helpers, and so on.
        probeOnBehalf: (peer, now) => send(peer, now, "ended"),
        probeIndirectly,
        addCandidates: candidates => {
            newCandidates.push(...candidates.map(candidate => ({ candidate, attempts: 0 })));
        },
        addMember: router => {
            pass.splice(Math.floor(random() * (pass.length + 1)), 0, router);
        },
        reset: () => {
            for (const entry of sent.values()) entry.progress = "ended";
        },
        getSentAt: sequence => sent.get(sequence)?.sentAt,
    };
}
