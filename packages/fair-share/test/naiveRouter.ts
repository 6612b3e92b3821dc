/** Baseline for comparison: each router has a fixed fraction of each target's limit and serves its queues fairly. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RequestSummary, RouterEvent } from "@rhubarbwheel/types/events";
import type { Slice } from "@rhubarbwheel/types/slices";
import type { SliceOptions } from "./fakeFleet.js";

export function createNaiveRouter(
    { configuration, index, routers }: SliceOptions & { index: number; routers: number; },
): Slice {
    const [service] = configuration.listServices();
    const { targets = [], targetLimit = 0 } = service?.spec ?? {};
    // The remainder of an uneven division goes to different routers for each target.
    const free = new Map(targets.map(({ name }, at) => {
        const rest = (index + at) % routers < targetLimit % routers ? 1 : 0;
        return [name, Math.floor(targetLimit / routers) + rest];
    }));
    const queues = new Map<string, { waiting: RequestSummary[]; cost: number; }>();
    const running = new Map<string, RequestSummary>();
    const getQueue = (workspace: string) => {
        const queue = queues.get(workspace) ?? { waiting: [], cost: 0 };
        queues.set(workspace, queue);
        return queue;
    };
    const getTime = (workspace: string) =>
        getQueue(workspace).cost / (configuration.getWorkspace(workspace)?.share ?? 1);
    const dispatch = (): Effect[] => {
        const effects: Effect[] = [];
        for (;;) {
            const target = targets.find(({ name }) => (free.get(name) ?? 0) > 0);
            const [workspace] = [...queues.keys()].filter(name => getQueue(name).waiting.length > 0)
                .sort((a, b) => getTime(a) - getTime(b));
            if (target === undefined || workspace === undefined) return effects;
            const request = getQueue(workspace).waiting.shift() as RequestSummary;
            free.set(target.name, (free.get(target.name) ?? 0) - 1);
            running.set(request.id, request);
            const { name, address } = target;
            const common = { requestId: request.id, attempt: 1, service: request.service, answerTimeoutMs: 60_000 };
            effects.push({ type: "sendToTarget", ...common, target: name, address });
        }
    };
    const reduce = (event: RouterEvent): readonly Effect[] => {
        if (event.type === "requestArrived") getQueue(event.request.workspace).waiting.push(event.request);
        else if (event.type === "targetEnded") {
            const request = running.get(event.requestId);
            running.delete(event.requestId);
            free.set(event.target, (free.get(event.target) ?? 0) + 1);
            getQueue(request?.workspace ?? "").cost += event.cost;
        }
        else { return []; }
        return dispatch();
    };
    return { reduce };
}
