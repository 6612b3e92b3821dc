/** Flags that the model and plain stand-ins have in common. `startsCold` is 0 or 1. */
export const targetFlagNames = [
    "seed",
    "coldLimit",
    "warmAfterCompleted",
    "warmAfterMs",
    "startsCold",
    "loadLagMs",
    "fellOverMs",
] as const;
