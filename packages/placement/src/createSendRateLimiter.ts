/** Counts what was sent to a target within the last second, for targets that bear only so much a second. */

export interface SendRateLimiter {
    /** Records a send if it keeps the number of sends within the last second at most `max`. */
    readonly tryTake: (target: string, max: number, now: number) => boolean;
    readonly hasRoom: (target: string, max: number, now: number) => boolean;
}

const windowMs = 1_000;

/** Added to the window, because sends that are apart here may arrive closer together. */
const jitterMs = 100;

export function createSendRateLimiter(): SendRateLimiter {
    const sends = new Map<string, number[]>();

    const listRecent = (target: string, now: number): number[] => {
        const recent = (sends.get(target) ?? []).filter(sentAt => now - sentAt < windowMs + jitterMs);
        if (recent.length === 0) sends.delete(target);
        else sends.set(target, recent);
        return recent;
    };

    return {
        tryTake: (target, max, now) => {
            const recent = listRecent(target, now);
            if (recent.length >= max) return false;
            recent.push(now);
            sends.set(target, recent);
            return true;
        },
        hasRoom: (target, max, now) => listRecent(target, now).length < max,
    };
}
