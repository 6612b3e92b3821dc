/** Limits the log lines about each peer: a router that is refused tries again several times a second. */

export interface PeerProblemLogOptions {
    readonly getNow: () => number;
    readonly logProblem: (
        fields: { readonly router: string | undefined; readonly reason: string; readonly omitted: number; },
    ) => void;
}

const intervalMs = 1_000;

/** Logs at most one problem per peer and second; `omitted` counts those left out since the line before. */
export function createPeerProblemLog(opts: PeerProblemLogOptions) {
    const peers = new Map<string | undefined, { readonly loggedAt: number; omitted: number; }>();

    return (router: string | undefined, reason: string): void => {
        const now = opts.getNow();
        const last = peers.get(router);
        if (last !== undefined && now - last.loggedAt < intervalMs) {
            last.omitted += 1;
            return;
        }
        peers.set(router, { loggedAt: now, omitted: 0 });
        opts.logProblem({ router, reason, omitted: last?.omitted ?? 0 });
    };
}
