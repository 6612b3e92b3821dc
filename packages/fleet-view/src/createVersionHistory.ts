/** Remembers which versions of a service had targets, also after the last one of a version has left. */
import type { TargetEntry } from "@rhubarbwheel/types/fleet";
import { getVersion } from "./createVersionFilter.js";

export interface VersionHistory {
    /** Takes the complete list of registered targets. */
    readonly update: (targets: readonly TargetEntry[], now: number) => void;
    /** Versions that had targets at any time in the last `windowMs`. */
    readonly list: (service: string, windowMs: number, now: number) => readonly string[];
    /** Whether the history goes back `windowMs`. */
    readonly isComplete: (windowMs: number, now: number) => boolean;
}

/** Time for which a version that has left is remembered; longer than any stream lasts. */
const maxHistoryMs = 300_000;

export function createVersionHistory(): VersionHistory {
    /** Time at which each version last had a target, by service; Infinity while it has one. */
    const lastSeen = new Map<string, Map<string, number>>();
    let knownSince = Infinity;

    return {
        update: (targets, now) => {
            knownSince = Math.min(knownSince, now);
            const present = new Map<string, Set<string>>();
            for (const target of targets) {
                const versions = present.get(target.service) ?? new Set<string>();
                versions.add(getVersion(target));
                present.set(target.service, versions);
            }
            for (const [service, versions] of lastSeen) {
                for (const [version, seenAt] of versions) {
                    if (present.get(service)?.has(version) === true) continue;
                    if (seenAt === Infinity) versions.set(version, now);
                    else if (now - seenAt > maxHistoryMs) versions.delete(version);
                }
                if (versions.size === 0) lastSeen.delete(service);
            }
            for (const [service, versions] of present) {
                const seen = lastSeen.get(service) ?? new Map<string, number>();
                for (const version of versions) seen.set(version, Infinity);
                lastSeen.set(service, seen);
            }
        },
        list: (service, windowMs, now) =>
            [...lastSeen.get(service) ?? []].filter(([, seenAt]) => now - seenAt <= windowMs).map(([version]) =>
                version
            ),
        isComplete: (windowMs, now) => now - knownSince >= windowMs,
    };
}
