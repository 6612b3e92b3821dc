/**
 * Distinguishes crashes of targets from single broken attempts: a crash breaks all attempts at the target at once. Collects
 * the prompt parts of the attempts that had not started.
 */

export interface CrashDetector {
    /** Records an attempt that ended without a complete response; `partIds` are its parts if it had not started. */
    readonly recordBroken: (target: string, partIds: readonly string[], now: number) => void;
    /** Returns the collected parts of each target that has crashed since the last call. */
    readonly takeCrashes: (now: number) => readonly Crash[];
    /** Whether a target with a broken attempt has not been classified yet. */
    readonly isPending: () => boolean;
}

export interface Crash {
    readonly target: string;
    readonly partIds: ReadonlySet<string>;
}

export interface CrashDetectorOptions {
    /** Number of attempts at the target that were assigned before `assignedBefore` and have not ended. */
    readonly countAssigned: (target: string, assignedBefore: number) => number;
}

/** Time after the first broken attempt within which all others must end for a crash; covers a lost notice. */
const crashWindowMs = 2_500;

interface BrokenTarget {
    readonly firstBrokenAt: number;
    readonly partIds: Set<string>;
}

export function createCrashDetector(opts: CrashDetectorOptions): CrashDetector {
    const brokenTargets = new Map<string, BrokenTarget>();

    const isCrashed = (target: string, { firstBrokenAt }: BrokenTarget): boolean =>
        opts.countAssigned(target, firstBrokenAt) === 0;

    return {
        recordBroken: (target, partIds, now) => {
            let broken = brokenTargets.get(target);
            if (broken === undefined) {
                broken = { firstBrokenAt: now, partIds: new Set() };
                brokenTargets.set(target, broken);
            }
            for (const id of partIds) broken.partIds.add(id);
        },
        takeCrashes: now => {
            const crashes: Crash[] = [];
            for (const [target, broken] of brokenTargets) {
                const crashed = isCrashed(target, broken);
                if (!crashed && now - broken.firstBrokenAt < crashWindowMs) continue;
                brokenTargets.delete(target);
                if (crashed) crashes.push({ target, partIds: broken.partIds });
            }
            return crashes;
        },
        isPending: () => brokenTargets.size > 0,
    };
}
