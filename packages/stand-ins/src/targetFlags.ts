/** Flags that the stand-ins of model engines and plain services share. `startsCold` is 0 or 1. */
export const targetFlagNames = [
    "seed",
    "coldLimit",
    "warmAfterCompleted",
    "warmAfterMs",
    "startsCold",
    "loadLagMs",
    "fellOverMs",
] as const;
