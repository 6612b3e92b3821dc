/** Maximum difference in virtual time between two backlogged workspaces of a pool. */
export function computeFairnessGap(
    workspaces: readonly { readonly virtualTime: number; readonly queued: number; }[],
): number {
    const virtualTimes = workspaces.filter(workspace => workspace.queued > 0).map(workspace => workspace.virtualTime);
    return virtualTimes.length === 0 ? 0 : Math.max(...virtualTimes) - Math.min(...virtualTimes);
}
