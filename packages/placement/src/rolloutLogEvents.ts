/** Numbers of the log events of the coordinator of a rollout. */
export const rolloutLogEvents = {
    rolloutTaken: 1732,
    rolloutReleased: 1733,
    rolloutDecided: 1734,
    rolloutStatusWritten: 1735,
    rolloutStatusRefused: 1736,
} as const;
