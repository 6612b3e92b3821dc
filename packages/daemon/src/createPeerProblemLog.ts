/** Rate-limits the log lines about each peer, because a refused router retries several times per second. */

export interface PeerProblemLogOptions {
    readonly getNow: () => number;
    readonly logProblem: (
        fields: { readonly router: string | undefined; readonly reason: string; readonly omitted: number; },
    ) => void;
}

const minLogIntervalMs = 1_000;

/** Logs at most one problem per peer and second. `omitted` counts the problems suppressed since the previous line. */
export function createPeerProblemLog(opts: PeerProblemLogOptions) {
    const peers = new Map<string | undefined, { readonly loggedAt: number; omitted: number; }>();

    return (router: string | undefined, reason: string): void => {
        const now = opts.getNow();
        const last = peers.get(router);
        if (last !== undefined && now - last.loggedAt < minLogIntervalMs) {
            last.omitted += 1;
            return;
        }
        peers.set(router, { loggedAt: now, omitted: 0 });
        opts.logProblem({ router, reason, omitted: last?.omitted ?? 0 });
    };
}
