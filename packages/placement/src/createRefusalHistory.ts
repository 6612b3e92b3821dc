/** Remembers refused requests, so that one that comes back is known to have waited already. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";

export interface RefusalHistory {
    /** Time since the request was first refused; `undefined` if it was not, or too long ago. */
    readonly getWaitedMs: (request: PlacementRequest, now: number) => number | undefined;
    readonly recordRefusal: (request: PlacementRequest, now: number) => void;
    readonly forget: (request: PlacementRequest) => void;
}

/** Time for which a refusal is remembered; the longest deadlines of the users' callers are as long. */
const memoryMs = 15_000;

/** Refusals that are remembered: those of the busiest pool of the users' sheets in that time, several times over. */
const maxRemembered = 20_000;

/** A caller that comes back sends the same prompt; its last part belongs to this request alone. */
function identify(request: PlacementRequest): string | undefined {
    return request.prompt?.parts.at(-1)?.id;
}

export function createRefusalHistory(): RefusalHistory {
    const refusedAt = new Map<string, number>();

    const dropOldest = (now: number): void => {
        for (const [id, at] of refusedAt) {
            if (at > now - memoryMs && refusedAt.size <= maxRemembered) break;
            refusedAt.delete(id);
        }
    };

    return {
        getWaitedMs: (request, now) => {
            const id = identify(request);
            const at = id === undefined ? undefined : refusedAt.get(id);
            return at === undefined || at <= now - memoryMs ? undefined : now - at;
        },
        recordRefusal: (request, now) => {
            const id = identify(request);
            if (id !== undefined && !refusedAt.has(id)) refusedAt.set(id, now);
            dropOldest(now);
        },
        forget: request => {
            const id = identify(request);
            if (id !== undefined) refusedAt.delete(id);
        },
    };
}
