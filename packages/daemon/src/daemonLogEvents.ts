/** Numbers of the daemon's log events, which are described in the event catalogue of `@rhubarbwheel/telemetry`. */
export const daemonLogEvents = {
    started: 1000,
    drainStarted: 1001,
    drainFinished: 1002,
    internalError: 1003,
    drainTimedOut: 1004,
    drainRepeated: 1005,
    peerProblem: 1010,
    settingsReloaded: 1011,
    logLinesOmitted: 1012,
    connectionRefused: 1013,
} as const;
