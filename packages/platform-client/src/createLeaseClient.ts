/** Leases stored as objects of the platform; a lease is taken over only if it was not renewed for its full duration. */
import type { LeaseResult } from "@rhubarbwheel/types/ports";
import type { ObjectClient } from "./createObjectClient.js";
import type { PlatformObject } from "./parsePlatformResponse.js";

export interface LeaseClient {
    readonly acquire: (lease: string, holder: string, durationMs: number) => Promise<LeaseResult>;
    readonly release: (lease: string, holder: string) => Promise<void>;
}

export interface LeaseClientOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly createWriteId: () => string;
}

export interface LeaseValue {
    /** Empty after a release. */
    readonly holder: string;
    /** Identifies the process of a holder: after a restart, a lease of the old process counts as held by another. */
    readonly instance: string;
    readonly durationMs: number;
    readonly renewals: number;
    /** Increases with each change of holder. */
    readonly fencingNumber: number;
}

/** Last state of a lease that this process has read or written, and since when it is known to be unchanged. */
interface Observation {
    readonly version: number;
    readonly value: LeaseValue;
    readonly unchangedSince: number;
}

const leaseKind = "leases";
const unheldLease: LeaseValue = { holder: "", instance: "", durationMs: 0, renewals: 0, fencingNumber: 0 };

function parseLease(value: unknown): LeaseValue {
    const lease = (value ?? {}) as Partial<Record<keyof LeaseValue, unknown>>;
    const { holder, instance, durationMs, renewals, fencingNumber } = lease;
    return {
        holder: typeof holder === "string" ? holder : "",
        instance: typeof instance === "string" ? instance : "",
        durationMs: Number(durationMs ?? 0) || 0,
        renewals: Number(renewals ?? 0) || 0,
        fencingNumber: Number(fencingNumber ?? 0) || 0,
    };
}

export function createLeaseClient(objects: ObjectClient, opts: LeaseClientOptions): LeaseClient {
    const observations = new Map<string, Observation>();
    const instance = opts.createWriteId();
    const isOwn = (value: LeaseValue, holder: string): boolean =>
        value.holder === holder && value.instance === instance;

    const observe = (lease: string, object: PlatformObject | undefined): Observation => {
        const version = object?.version ?? 0;
        const lastObservation = observations.get(lease);
        if (lastObservation?.version === version) return lastObservation;
        const isFree = object === undefined || object.deleted === true;
        const storedLease = parseLease(object?.value);
        // Tombstones keep the last value, so that the fencing number never decreases.
        const value = isFree ? { ...unheldLease, fencingNumber: storedLease.fencingNumber } : storedLease;
        const observation = { version, value, unchangedSince: opts.getNow() };
        observations.set(lease, observation);
        return observation;
    };

    const readLease = async (lease: string): Promise<Observation | undefined> => {
        const result = await objects.read(leaseKind, lease);
        return result.type === "read" ? observe(lease, result.object) : undefined;
    };

    const writeLease = (lease: string, observation: Observation, value: LeaseValue) =>
        objects.write({
            kind: leaseKind,
            name: lease,
            expectedVersion: observation.version,
            writeId: opts.createWriteId(),
            value,
            replaceTombstone: false,
        });

    const computeRemainingMs = (observation: Observation): number =>
        observation.value.holder === ""
            ? 0
            : Math.max(0, observation.unchangedSince + observation.value.durationMs - opts.getNow());

    /** Writes this process as the holder if it holds the lease, or if the lease is free or expired. */
    const tryAcquire = async (
        lease: string,
        holder: string,
        durationMs: number,
        observation: Observation,
    ): Promise<LeaseResult | "changed"> => {
        const isRenewal = isOwn(observation.value, holder);
        const remainingMs = computeRemainingMs(observation);
        if (!isRenewal && remainingMs > 0)
            return { result: "taken", validForMs: remainingMs, fencingNumber: observation.value.fencingNumber };
        const value = {
            holder,
            instance,
            durationMs,
            renewals: isRenewal ? observation.value.renewals + 1 : 0,
            fencingNumber: observation.value.fencingNumber + (isRenewal ? 0 : 1),
        };
        const written = await writeLease(lease, observation, value);
        if (written.type === "conflict") return "changed";
        if (written.type !== "accepted") return { result: "unavailable", validForMs: 0, fencingNumber: 0 };
        const isCurrent = written.object.version === observation.version + 1;
        observe(lease, written.object);
        return isCurrent ? { result: "held", validForMs: durationMs, fencingNumber: value.fencingNumber } : "changed";
    };

    /** Returns the last state of a lease that this process holds, which is renewed without reading it first. */
    const getOwnLease = (lease: string, holder: string): Observation | undefined => {
        const ownObservation = observations.get(lease);
        return ownObservation !== undefined && isOwn(ownObservation.value, holder) ? ownObservation : undefined;
    };

    const acquire = async (lease: string, holder: string, durationMs: number): Promise<LeaseResult> => {
        const ownLease = getOwnLease(lease, holder);
        const renewed = ownLease === undefined ? "changed" : await tryAcquire(lease, holder, durationMs, ownLease);
        if (renewed !== "changed") return renewed;
        const observation = await readLease(lease);
        if (observation === undefined) return { result: "unavailable", validForMs: 0, fencingNumber: 0 };
        const acquired = await tryAcquire(lease, holder, durationMs, observation);
        if (acquired !== "changed") return acquired;
        return { result: "taken", validForMs: 0, fencingNumber: observation.value.fencingNumber };
    };

    const release = async (lease: string, holder: string): Promise<void> => {
        const observation = getOwnLease(lease, holder) ?? await readLease(lease);
        if (observation === undefined || !isOwn(observation.value, holder)) return;
        const written = await writeLease(lease, observation, { ...observation.value, holder: "" });
        if (written.type === "accepted") observe(lease, written.object);
        else observations.delete(lease);
    };

    return { acquire, release };
}
