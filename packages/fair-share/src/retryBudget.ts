/** Token bucket that limits retries to a fraction of the requests, so that retries do not overload a failing pool. */
import { initialRetryTokens, maxRetryTokens, retryRatio } from "./constants.js";

export interface RetryBudget {
    readonly addRequest: () => void;
    /** Takes one retry from the budget; returns false if none is available. */
    readonly tryTakeRetry: () => boolean;
}

export function createRetryBudget(): RetryBudget {
    // Counted in requests, because sums of the fraction 0.1 are not exact in floating point.
    const requestsPerRetry = Math.round(1 / retryRatio);
    let credit = initialRetryTokens * requestsPerRetry;
    return {
        addRequest: () => {
            credit = Math.min(credit + 1, maxRetryTokens * requestsPerRetry);
        },
        tryTakeRetry: () => {
            if (credit < requestsPerRetry) return false;
            credit -= requestsPerRetry;
            return true;
        },
    };
}
