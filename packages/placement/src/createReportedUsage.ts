/** Fractions of their shares that workspaces have used, as of the last replies of a coordinator. */

export interface ReportedUsage {
    readonly record: (workspace: string, usedRatio: number, now: number) => void;
    /** Whether the workspace was beyond its share in the last reply; false if that is too long ago. */
    readonly isShareUsed: (workspace: string, now: number) => boolean;
}

export interface ReportedUsageOptions {
    /** Time after which a report is too old to be used: the window over which shares are compared. */
    readonly retentionMs: number;
}

export function createReportedUsage(opts: ReportedUsageOptions): ReportedUsage {
    /** Time until which each workspace counts as beyond its share. */
    const usedUntil = new Map<string, number>();

    return {
        record: (workspace, usedRatio, now) => {
            if (usedRatio > 1) usedUntil.set(workspace, now + opts.retentionMs);
            else usedUntil.delete(workspace);
        },
        isShareUsed: (workspace, now) => now < (usedUntil.get(workspace) ?? -Infinity),
    };
}
