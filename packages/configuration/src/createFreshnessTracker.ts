/**
 * Decides whether the configuration is known to be current. A confirmation as of time T means: this router holds every
 * change that was accepted before T. Times are this router's own monotonic time.
 */
import type { ConfigurationDigest } from "@rhubarbwheel/types/peer-messages";

import { maxVotesNeeded, staleAfterMs, suspectAfterMs } from "./configurationSettings.js";

export type FreshnessState = "empty" | "fresh" | "stale";

/** What a peer said in answer to a probe that was sent at `asOf`. */
interface PeerReport {
    readonly asOf: number;
    readonly unreachable: boolean;
    readonly revision: number;
}

interface StoreCheck {
    readonly unreachable: boolean;
    readonly at: number;
}

export interface Freshness {
    /** Confirms that every change accepted before `asOf` is held. */
    readonly confirm: (asOf: number, source: "store" | "peer") => void;
    /** Records whether the store answered this router. */
    readonly recordCheck: (unreachable: boolean, now: number) => void;
    /** Reads the digest in the answer to a probe of this router; `sentAt` is when the probe was sent. */
    readonly readAnswer: (router: string, digest: ConfigurationDigest, sentAt: number, revision: number) => void;
    /** Confirms from an earlier answer, once the revision that it named is reached. */
    readonly reachRevision: (revision: number) => void;
    /** Counts the routers that report an outage of the store. */
    readonly countVotes: (now: number, revision: number, fleet: FleetCount) => void;
    readonly forgetPeer: (router: string) => void;
    readonly getState: (now: number) => FreshnessState;
    readonly getDigest: (now: number, revision: number) => ConfigurationDigest;
    /** Age of the confirmation by the store, directly or through peers; infinite if there was none. */
    readonly getStoreAge: (now: number) => number;
    /** Age of the last confirmation through a peer. */
    readonly getPeerAge: (now: number) => number;
    /** Age of the confirmation, an outage agreed on by a majority included. */
    readonly getAge: (now: number) => number;
}

/** Sizes needed for a majority, from membership. */
export interface FleetCount {
    readonly listed: number;
    readonly listedAlive: number;
    readonly isListed: (router: string) => boolean;
}

export function createFreshnessTracker(): Freshness {
    let storeConfirmedAt = -Infinity;
    let peerConfirmedAt = -Infinity;
    let outageConfirmedAt = -Infinity;
    let ownCheck: StoreCheck | undefined;
    let heardUnreachableAt = -Infinity;
    let pending: { readonly revision: number; readonly asOf: number; } | undefined;
    const reports = new Map<string, PeerReport>();

    const confirm = (asOf: number, source: "store" | "peer") => {
        storeConfirmedAt = Math.max(storeConfirmedAt, asOf);
        if (source === "peer") peerConfirmedAt = Math.max(peerConfirmedAt, asOf);
    };

    const readAnswer = (router: string, digest: ConfigurationDigest, sentAt: number, revision: number) => {
        const { storeUnreachable, storeCheckedAgeMs } = digest;
        const isRecent = storeCheckedAgeMs !== undefined && storeCheckedAgeMs <= staleAfterMs;
        const unreachable = storeUnreachable && isRecent;
        if (sentAt >= (reports.get(router)?.asOf ?? -Infinity))
            reports.set(router, { asOf: sentAt, unreachable, revision: digest.revision });
        if (unreachable) heardUnreachableAt = Math.max(heardUnreachableAt, sentAt - storeCheckedAgeMs);
        if (digest.confirmedAgeMs === undefined) return;
        const asOf = sentAt - digest.confirmedAgeMs;
        if (revision >= digest.revision) confirm(asOf, "peer");
        else if (pending === undefined || asOf > pending.asOf) pending = { revision: digest.revision, asOf };
    };

    const reachRevision = (revision: number) => {
        if (pending === undefined || revision < pending.revision) return;
        confirm(pending.asOf, "peer");
        pending = undefined;
    };

    /** This router's own check decides while it is recent; otherwise the failed checks of others do. */
    const findCheck = (now: number): StoreCheck | undefined => {
        if (ownCheck !== undefined && now - ownCheck.at <= staleAfterMs) return ownCheck;
        const isConfirmed = now - storeConfirmedAt <= suspectAfterMs;
        if (isConfirmed || now - heardUnreachableAt > staleAfterMs) return undefined;
        return { unreachable: true, at: heardUnreachableAt };
    };

    const countVotes = (now: number, revision: number, fleet: FleetCount) => {
        // A router that never held a confirmed configuration cannot tell an empty one from a missing one.
        if (storeConfirmedAt === -Infinity || findCheck(now)?.unreachable !== true) return;
        const recent = [...reports].filter(([, report]) => now - report.asOf <= staleAfterMs);
        if (recent.some(([, report]) => report.revision > revision)) return;
        const majority = Math.floor(fleet.listed / 2) + 1;
        if (fleet.listedAlive < majority) return;
        const needed = Math.min(majority, maxVotesNeeded);
        const votes = recent.filter(([router, report]) => report.unreachable && fleet.isListed(router))
            .map(([, report]) => report.asOf)
            .sort((left, right) => right - left);
        // The vote of this router is as of now; the majority is as of the oldest vote that is needed.
        const oldest = needed <= 1 ? now : votes[needed - 2];
        if (oldest !== undefined) outageConfirmedAt = Math.max(outageConfirmedAt, oldest);
    };

    const getAge = (now: number) => now - Math.max(storeConfirmedAt, outageConfirmedAt);

    const getDigest = (now: number, revision: number): ConfigurationDigest => {
        const check = findCheck(now);
        return {
            revision,
            confirmedAgeMs: storeConfirmedAt === -Infinity ? undefined : now - storeConfirmedAt,
            storeUnreachable: check?.unreachable === true,
            storeCheckedAgeMs: check === undefined ? undefined : now - check.at,
        };
    };

    return {
        confirm,
        recordCheck: (unreachable, now) => void (ownCheck = { unreachable, at: now }),
        readAnswer,
        reachRevision,
        countVotes,
        forgetPeer: router => void reports.delete(router),
        getState: now => {
            if (storeConfirmedAt === -Infinity) return "empty";
            return getAge(now) <= staleAfterMs ? "fresh" : "stale";
        },
        getDigest,
        getStoreAge: now => now - storeConfirmedAt,
        getPeerAge: now => now - peerConfirmedAt,
        getAge,
    };
}
