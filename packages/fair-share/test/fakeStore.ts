/** Fake of the platform's store: leases on a fake clock. */
import type { LeaseAnsweredEvent } from "@rhubarbwheel/types/events";

export function createFakeStore() {
    const leases = new Map<string, { holder: string; until: number; }>();
    const state = { up: true };
    return {
        state,
        release: (lease: string, holder: string) => {
            if (leases.get(lease)?.holder === holder) leases.delete(lease);
        },
        acquire: (lease: string, holder: string, now: number, durationMs: number): LeaseAnsweredEvent => {
            const held = leases.get(lease);
            const taken = held !== undefined && held.holder !== holder && held.until > now;
            if (state.up && !taken) leases.set(lease, { holder, until: now + durationMs });
            const result = !state.up ? "unavailable" : taken ? "taken" : "held";
            return { type: "leaseAnswered", now, lease, result, validUntil: now + durationMs, fencingNumber: 1 };
        },
    };
}
