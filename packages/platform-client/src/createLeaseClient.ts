/** Leases as objects of the platform, taken over only after their holder has been silent for a full duration. */
import type { LeaseResult } from "@rhubarbwheel/types/ports";
import type { ObjectClient } from "./createObjectClient.js";
import type { PlatformObject } from "./parsePlatform.js";

export interface LeaseClient {
    readonly acquire: (lease: string, holder: string, durationMs: number) => Promise<LeaseResult>;
    readonly release: (lease: string, holder: string) => Promise<void>;
}

export interface LeaseClientOptions {
    /** Monotonic time in milliseconds. */
    readonly clock: () => number;
    readonly createWriteId: () => string;
}

export interface LeaseValue {
    /** Empty after a release. */
    readonly holder: string;
    /** Tells apart the lives of a holder: after a restart, the lease of the former life is one of somebody else. */
    readonly instance: string;
    readonly durationMs: number;
    readonly renewals: number;
    /** Grows with each change of holder. */
    readonly fencingNumber: number;
}

/** The last state of a lease that this process has seen, and since when it is known not to have changed. */
interface Observation {
    readonly version: number;
    readonly value: LeaseValue;
    readonly since: number;
}

const leaseKind = "leases";
const neverHeld: LeaseValue = { holder: "", instance: "", durationMs: 0, renewals: 0, fencingNumber: 0 };

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
        const known = observations.get(lease);
        if (known?.version === version) return known;
        const isFree = object === undefined || object.deleted === true;
        const parsed = parseLease(object?.value);
        // Tombstones keep the last value, so that the fencing number goes on growing.
        const value = isFree ? { ...neverHeld, fencingNumber: parsed.fencingNumber } : parsed;
        const observation = { version, value, since: opts.clock() };
        observations.set(lease, observation);
        return observation;
    };

    const readLease = async (lease: string): Promise<Observation | undefined> => {
        const result = await objects.read(leaseKind, lease);
        return result.type === "read" ? observe(lease, result.object) : undefined;
    };

    const writeLease = (lease: string, seen: Observation, value: LeaseValue) =>
        objects.write({
            kind: leaseKind,
            name: lease,
            expectedVersion: seen.version,
            writeId: opts.createWriteId(),
            value,
            replaceTombstone: false,
        });

    const getRemainingMs = (seen: Observation): number =>
        seen.value.holder === "" ? 0 : Math.max(0, seen.since + seen.value.durationMs - opts.clock());

    /** Writes this process as the holder, if the lease is its own, free, or silent for its duration. */
    const claim = async (
        lease: string,
        holder: string,
        durationMs: number,
        seen: Observation,
    ): Promise<LeaseResult | "changed"> => {
        const isRenewal = isOwn(seen.value, holder);
        const remainingMs = getRemainingMs(seen);
        if (!isRenewal && remainingMs > 0)
            return { result: "taken", validForMs: remainingMs, fencingNumber: seen.value.fencingNumber };
        const value = {
            holder,
            instance,
            durationMs,
            renewals: isRenewal ? seen.value.renewals + 1 : 0,
            fencingNumber: seen.value.fencingNumber + (isRenewal ? 0 : 1),
        };
        const written = await writeLease(lease, seen, value);
        if (written.type === "conflict") return "changed";
        if (written.type !== "accepted") return { result: "unavailable", validForMs: 0, fencingNumber: 0 };
        const isCurrent = written.object.version === seen.version + 1;
        observe(lease, written.object);
        return isCurrent ? { result: "held", validForMs: durationMs, fencingNumber: value.fencingNumber } : "changed";
    };

    /** A lease that this process holds is renewed without being read first. */
    const getOwnLease = (lease: string, holder: string): Observation | undefined => {
        const known = observations.get(lease);
        return known !== undefined && isOwn(known.value, holder) ? known : undefined;
    };

    const acquire = async (lease: string, holder: string, durationMs: number): Promise<LeaseResult> => {
        const own = getOwnLease(lease, holder);
        const renewed = own === undefined ? "changed" : await claim(lease, holder, durationMs, own);
        if (renewed !== "changed") return renewed;
        const seen = await readLease(lease);
        if (seen === undefined) return { result: "unavailable", validForMs: 0, fencingNumber: 0 };
        const claimed = await claim(lease, holder, durationMs, seen);
        if (claimed !== "changed") return claimed;
        return { result: "taken", validForMs: 0, fencingNumber: seen.value.fencingNumber };
    };

    const release = async (lease: string, holder: string): Promise<void> => {
        const seen = getOwnLease(lease, holder) ?? await readLease(lease);
        if (seen === undefined || !isOwn(seen.value, holder)) return;
        const written = await writeLease(lease, seen, { ...seen.value, holder: "" });
        if (written.type === "accepted") observe(lease, written.object);
        else observations.delete(lease);
    };

    return { acquire, release };
}
