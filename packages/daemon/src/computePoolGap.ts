/** Greatest difference of virtual time between two workspaces of a pool that wait. */
export function computePoolGap(
    workspaces: readonly { readonly virtualTime: number; readonly queued: number; }[],
): number {
    const waiting = workspaces.filter(workspace => workspace.queued > 0).map(workspace => workspace.virtualTime);
    return waiting.length === 0 ? 0 : Math.max(...waiting) - Math.min(...waiting);
}
