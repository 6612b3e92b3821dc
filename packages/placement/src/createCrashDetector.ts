/**
 * Distinguishes crashes of targets from single broken attempts: a crash breaks all attempts at the target at once. Collects
 * the prompt parts of those attempts, and of responses that have only just completed.
 */

export interface CrashDetector {
    /** Records an attempt that ended without a complete response. */
    readonly recordBroken: (target: string, partIds: readonly string[], now: number) => void;
    readonly recordComplete: (target: string, partIds: readonly string[], now: number) => void;
    /** Returns the collected parts of each target that has crashed since the last call. */
    readonly takeCrashes: (now: number) => readonly Crash[];
    /** Returns the parts of each complete response after which the target has not crashed. */
    readonly takeCompletions: (now: number) => readonly (readonly string[])[];
    /** Whether a target with a broken attempt has not been classified yet. */
    readonly hasBroken: () => boolean;
    /** Whether such a target, or a complete response, has not been classified yet. */
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

/** Time between a complete response and a crash of its target within which the request may have caused the crash. */
export const completionGraceMs = 50;

interface BrokenTarget {
    readonly firstBrokenAt: number;
    readonly partIds: Set<string>;
}

interface Completion {
    readonly target: string;
    readonly partIds: readonly string[];
    readonly completedAt: number;
}

export function createCrashDetector(opts: CrashDetectorOptions): CrashDetector {
    const brokenTargets = new Map<string, BrokenTarget>();
    /** Oldest first. */
    let completions: Completion[] = [];

    const isCrashed = (target: string, { firstBrokenAt }: BrokenTarget): boolean =>
        opts.countAssigned(target, firstBrokenAt) === 0;

    const addBrokenTarget = (target: string, now: number): BrokenTarget => {
        const recent = completions.filter(completion => completion.target === target);
        completions = completions.filter(completion => completion.target !== target);
        const broken = { firstBrokenAt: now, partIds: new Set(recent.flatMap(({ partIds }) => partIds)) };
        brokenTargets.set(target, broken);
        return broken;
    };

    return {
        recordBroken: (target, partIds, now) => {
            const broken = brokenTargets.get(target) ?? addBrokenTarget(target, now);
            for (const id of partIds) broken.partIds.add(id);
        },
        recordComplete: (target, partIds, now) => {
            if (partIds.length === 0) return;
            const broken = brokenTargets.get(target);
            // Notices of different routers do not arrive in the order of their events.
            if (broken !== undefined && now - broken.firstBrokenAt < completionGraceMs) {
                for (const id of partIds) broken.partIds.add(id);
            }
            else { completions.push({ target, partIds, completedAt: now }); }
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
        takeCompletions: now => {
            const index = completions.findIndex(({ completedAt }) => now - completedAt < completionGraceMs);
            return completions.splice(0, index < 0 ? completions.length : index).map(({ partIds }) => partIds);
        },
        hasBroken: () => brokenTargets.size > 0,
        isPending: () => brokenTargets.size > 0 || completions.length > 0,
    };
}
