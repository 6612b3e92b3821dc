/**
 * The store turns one router away while a router is added that becomes the coordinator. The one that was turned away goes
 * on asking the coordinator before it, which goes on granting: two coordinators grant the whole rate of one worker.
 */
import { performance } from "node:perf_hooks";
import {
    call,
    createConfiguration,
    createTargetEntry,
    formatResponse,
    hasTrouble,
    nextAddress,
    record,
    respondHealth,
    runCase,
    sleep,
    startRouter,
    startStoreStandIn,
    startTargetStandIn,
} from "../harness-2/harness.mjs";

/** Requests a second that the worker names in `Server-Limit`. */
const limitPerSecond = 10;
const callsPerSecond = 30;
const workMs = 10;

/** Bounds of the rule: window, factor and slack. */
const windowMs = 4_000;
const maxInWindow = 1.5 * limitPerSecond * windowMs / 1_000 + 5;

/** `stableWindowMs` of the site. */
const stableMs = 4_000;

/** Less than the 9 s for which the site's store turns machines away. */
const refusalMs = 8_500;

await runCase(async () => {
    const store = await startStoreStandIn(nextAddress());
    store.put("config", "main", createConfiguration());
    const worker = await startTargetStandIn("worker-1", nextAddress());
    store.put("servers", "worker-1", createTargetEntry(worker, "plain"));
    /** Requests that reached the worker, with the router that had sent them. */
    const arrivals = [];
    /** Time at which each router first passed on an answer with the limit. */
    const passedOnAt = new Map();
    let headers = {};
    /** Time at which the worker first named its limit. */
    let namedAt = Infinity;
    worker.setScript(async (received, socket) => {
        if (respondHealth(received, socket, { name: "worker-1" })) return;
        const id = received.headers["attempt-id"];
        arrivals.push({ at: performance.now(), router: id.split("/")[0] });
        record(`worker-1 runs ${id}`);
        await sleep(workMs);
        if (headers["Server-Limit"] !== undefined) namedAt = Math.min(namedAt, performance.now());
        socket.write(formatResponse(received, "ok", { headers }));
    });

    let isOver = false;
    const sendCalls = async router => {
        for (let number = 1; !isOver; number++) {
            const id = `${router.name}/${number}`;
            const opts = { path: "/safe/x", id, timeoutMs: 3_000 };
            record(`${id} sent`);
            void call(router.address, { ...opts, headers: { Connection: "close", "Deadline-Ms": "2500" } }).then(
                answer => {
                    record(`${id}: ${answer.status}, limit ${answer.headers["server-limit"]}`);
                    if (answer.headers["server-limit"] !== undefined && !passedOnAt.has(router.name))
                        passedOnAt.set(router.name, performance.now());
                },
            );
            await sleep(1_000 / callsPerSecond);
        }
    };

    // Each router has an address of the store of its own, so that the store can turn one of them away.
    const otherStoreAddress = await store.openAddress();
    const start = (name, zone, cores, storeAddress) => startRouter({ name, zone, cores, storeAddress });
    const routers = [
        await start("front-a-1", "zone-a", 1.2, store.address),
        await start("front-b-1", "zone-b", 0.5, otherStoreAddress),
        await start("front-c-1", "zone-c", 0.5, store.address),
    ];
    await sleep(1_000);
    for (const router of routers) void sendCalls(router);
    await sleep(500);
    headers = { "Server-Limit": String(limitPerSecond) };
    record(`worker-1 names its limit, ${limitPerSecond}`);
    await sleep(stableMs);
    if (hasTrouble) {
        store.setFault("busy", [otherStoreAddress]);
        store.muteWatches([otherStoreAddress]);
        record("the store turns front-b-1 away");
    }
    const refusedAt = performance.now();
    await sleep(300);
    // A larger machine, which the routers prefer as coordinator.
    await start("front-a-2", "zone-a", 2.9, store.address);
    await sleep(refusalMs - (performance.now() - refusedAt));
    isOver = true;
    record("the store takes front-b-1 back");
    store.setFault("none", []);
    await sleep(300);

    const counted = arrivals.filter(({ at, router }) =>
        at > namedAt + stableMs && at > (passedOnAt.get(router) ?? Infinity) + 500
    );
    let most = 0;
    for (const { at: from } of counted)
        most = Math.max(most, counted.filter(({ at }) => at >= from && at < from + windowMs).length);
    const summary = `worker-1 got at most ${most} requests in 4 s from routers that had passed its limit on `
        + `(allowed: ${maxInWindow})`;
    return { isBroken: most > maxInWindow, summary };
});
