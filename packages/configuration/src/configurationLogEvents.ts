/** Event numbers of the log events of the configuration slice. */
export const configurationLogEvents = {
    applied: 1400,
    appliedBatch: 1401,
    freshness: 1402,
    storeUnreachable: 1403,
    storeReachable: 1404,
    revisionGone: 1405,
    role: 1406,
} as const;
