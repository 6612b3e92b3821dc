/** Limits retries to a part of the requests, so that a failing pool is not flooded with repeated work. */
import { retryRatio, retryReserve, retryTokensMax } from "./constants.js";

export interface RetryBudget {
    readonly addRequest: () => void;
    /** Takes one retry from the budget if there is one. */
    readonly takeRetry: () => boolean;
}

export function createRetryBudget(): RetryBudget {
    // Counted in requests, because sums of 0.1 are not exact.
    const requestsPerRetry = Math.round(1 / retryRatio);
    let credit = retryReserve * requestsPerRetry;
    return {
        addRequest: () => {
            credit = Math.min(credit + 1, retryTokensMax * requestsPerRetry);
        },
        takeRetry: () => {
            if (credit < requestsPerRetry) return false;
            credit -= requestsPerRetry;
            return true;
        },
    };
}
