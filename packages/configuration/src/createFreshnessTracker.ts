/**
 * Tracks whether the configuration is known to be current. A confirmation as of time T means that this router holds
 * every change that was accepted before T. All times are in this router's monotonic time.
 */
import type { ConfigurationDigest } from "@rhubarbwheel/types/peer-messages";

import { maxRequiredVotes, staleAfterMs, suspectAfterMs } from "./configurationSettings.js";

export type FreshnessState = "empty" | "fresh" | "stale";

/** Digest from the acknowledgement of a probe that was sent at `asOf`. */
interface PeerReport {
    readonly asOf: number;
    readonly unreachable: boolean;
    readonly revision: number;
}

interface StoreCheck {
    readonly unreachable: boolean;
    readonly at: number;
}

export interface FreshnessTracker {
    /** Records a confirmation as of `asOf`. */
    readonly confirm: (asOf: number, source: "store" | "peer") => void;
    /** Records whether this router's last store request failed. */
    readonly recordCheck: (unreachable: boolean, now: number) => void;
    /** Applies the digest from the acknowledgement of a probe that this router sent at `sentAt`. */
    readonly applyDigest: (router: string, digest: ConfigurationDigest, sentAt: number, revision: number) => void;
    /** Confirms from an earlier digest, once `revision` has reached the revision of that digest. */
    readonly confirmPending: (revision: number) => void;
    /** Counts the routers that report an outage of the store; a majority of them counts as a confirmation. */
    readonly countVotes: (now: number, revision: number, fleet: FleetCount) => void;
    readonly removePeer: (router: string) => void;
    readonly getState: (now: number) => FreshnessState;
    readonly getDigest: (now: number, revision: number) => ConfigurationDigest;
    /** Age of the confirmation by the store, directly or through peers; infinite if there was none. */
    readonly getStoreAgeMs: (now: number) => number;
    /** Age of the last confirmation through a peer. */
    readonly getPeerAgeMs: (now: number) => number;
    /** Age of the confirmation, including one by a majority that reports an outage. */
    readonly getAgeMs: (now: number) => number;
}

/** Fleet size from membership, as needed for a majority. */
export interface FleetCount {
    readonly listed: number;
    readonly listedAlive: number;
    readonly isListed: (router: string) => boolean;
}

export function createFreshnessTracker(): FreshnessTracker {
    let storeConfirmedAt = -Infinity;
    let peerConfirmedAt = -Infinity;
    let outageConfirmedAt = -Infinity;
    let ownCheck: StoreCheck | undefined;
    let outageReportedAt = -Infinity;
    let pending: { readonly revision: number; readonly asOf: number; } | undefined;
    const reports = new Map<string, PeerReport>();

    const confirm = (asOf: number, source: "store" | "peer") => {
        storeConfirmedAt = Math.max(storeConfirmedAt, asOf);
        if (source === "peer") peerConfirmedAt = Math.max(peerConfirmedAt, asOf);
    };

    const applyDigest = (router: string, digest: ConfigurationDigest, sentAt: number, revision: number) => {
        const { storeUnreachable, storeCheckedAgeMs } = digest;
        const isRecent = storeCheckedAgeMs !== undefined && storeCheckedAgeMs <= staleAfterMs;
        const unreachable = storeUnreachable && isRecent;
        if (sentAt >= (reports.get(router)?.asOf ?? -Infinity))
            reports.set(router, { asOf: sentAt, unreachable, revision: digest.revision });
        if (unreachable) outageReportedAt = Math.max(outageReportedAt, sentAt - storeCheckedAgeMs);
        if (digest.confirmedAgeMs === undefined) return;
        const asOf = sentAt - digest.confirmedAgeMs;
        if (revision >= digest.revision) confirm(asOf, "peer");
        else if (pending === undefined || asOf > pending.asOf) pending = { revision: digest.revision, asOf };
    };

    const confirmPending = (revision: number) => {
        if (pending === undefined || revision < pending.revision) return;
        confirm(pending.asOf, "peer");
        pending = undefined;
    };

    /** Returns this router's own check while it is recent, and otherwise a recent failed check of a peer. */
    const getLatestCheck = (now: number): StoreCheck | undefined => {
        if (ownCheck !== undefined && now - ownCheck.at <= staleAfterMs) return ownCheck;
        const isConfirmed = now - storeConfirmedAt <= suspectAfterMs;
        if (isConfirmed || now - outageReportedAt > staleAfterMs) return undefined;
        return { unreachable: true, at: outageReportedAt };
    };

    const countVotes = (now: number, revision: number, fleet: FleetCount) => {
        // A router that has never had a confirmed configuration cannot tell an empty one from a missing one.
        if (storeConfirmedAt === -Infinity || getLatestCheck(now)?.unreachable !== true) return;
        const recent = [...reports].filter(([, report]) => now - report.asOf <= staleAfterMs);
        if (recent.some(([, report]) => report.revision > revision)) return;
        const majority = Math.floor(fleet.listed / 2) + 1;
        if (fleet.listedAlive < majority) return;
        const needed = Math.min(majority, maxRequiredVotes);
        const votes = recent.filter(([router, report]) => report.unreachable && fleet.isListed(router))
            .map(([, report]) => report.asOf)
            .sort((left, right) => right - left);
        // This router's own vote is as of now, and the majority is as of the oldest required vote.
        const oldest = needed <= 1 ? now : votes[needed - 2];
        if (oldest !== undefined) outageConfirmedAt = Math.max(outageConfirmedAt, oldest);
    };

    const getAgeMs = (now: number) => now - Math.max(storeConfirmedAt, outageConfirmedAt);

    const getDigest = (now: number, revision: number): ConfigurationDigest => {
        const check = getLatestCheck(now);
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
        applyDigest,
        confirmPending,
        countVotes,
        removePeer: router => void reports.delete(router),
        getState: now => {
            if (storeConfirmedAt === -Infinity) return "empty";
            return getAgeMs(now) <= staleAfterMs ? "fresh" : "stale";
        },
        getDigest,
        getStoreAgeMs: now => now - storeConfirmedAt,
        getPeerAgeMs: now => now - peerConfirmedAt,
        getAgeMs,
    };
}
