/** Numbers of the log events of coordinators. */
export const coordinatorLogEvents = {
    sharesContended: 1713,
    targetCold: 1717,
    coordinationStarted: 1722,
    serviceVersionsRecorded: 1724,
    serviceVersionsUnrecorded: 1725,
    rolloutTaken: 1732,
    rolloutReleased: 1733,
    rolloutDecided: 1734,
    rolloutStatusWritten: 1735,
    rolloutStatusRefused: 1736,
    loadUneven: 1740,
} as const;
