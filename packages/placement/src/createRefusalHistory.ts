/** Recent refusals, to recognize retried requests and how long they have waited. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";

export interface RefusalHistory {
    /** Time since the request was first refused; `undefined` if there is no refusal within the retention time. */
    readonly getWaitedMs: (request: PlacementRequest, now: number) => number | undefined;
    readonly recordRefusal: (request: PlacementRequest, now: number) => void;
    readonly remove: (request: PlacementRequest) => void;
}

/** Retention time of a refusal: the longest timeout of callers. */
const retentionMs = 15_000;

/** Maximum number of refusals: several times what the busiest pool of the expected load can refuse in that time. */
const maxEntries = 20_000;

/** Id of the last prompt part: a retry has the same prompt, and its last part is not shared with other requests. */
function getPromptId(request: PlacementRequest): string | undefined {
    return request.prompt?.parts.at(-1)?.id;
}

export function createRefusalHistory(): RefusalHistory {
    const firstRefusedAt = new Map<string, number>();

    const evictOldest = (now: number): void => {
        for (const [id, at] of firstRefusedAt) {
            if (at > now - retentionMs && firstRefusedAt.size <= maxEntries) break;
            firstRefusedAt.delete(id);
        }
    };

    return {
        getWaitedMs: (request, now) => {
            const id = getPromptId(request);
            const at = id === undefined ? undefined : firstRefusedAt.get(id);
            return at === undefined || at <= now - retentionMs ? undefined : now - at;
        },
        recordRefusal: (request, now) => {
            const id = getPromptId(request);
            if (id !== undefined && !firstRefusedAt.has(id)) firstRefusedAt.set(id, now);
            evictOldest(now);
        },
        remove: request => {
            const id = getPromptId(request);
            if (id !== undefined) firstRefusedAt.delete(id);
        },
    };
}
