/**
 * The open connections to the store go silent for good, while new ones work. Then the entry of a target is removed, which
 * never reports that it is draining, and goes on serving for some seconds.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { formatResponse } from "../../platform/lib/test/stand-ins/startTargetStandIn.js";
import { startCaller } from "../harness/callers.mjs";
import { configuration, createTargetEntry } from "../harness/configuration.mjs";
import { runCase, siteBounds } from "../harness/deployment.mjs";
import { startSilentProxy } from "../harness/silentProxy.mjs";

/** Each round has its own target that leaves. */
const rounds = 12;

const workMs = 30;

const callersPerRouter = 4;

/** Time in which the new target gets calls before its round; longer in each round, to meet watches at any moment. */
const minWarmMs = 1200;
const warmStepMs = 100;

/** From the silence to the removal of the entry. */
const removalMs = 300;

/** From the removal until the target of the round ends: `drainMs` "and a little longer (at times many seconds)". */
const servesMs = 4200;

async function play(deployment, hasTrouble) {
    const { record, getNow } = deployment;
    const store = await deployment.startStore();
    store.put("config", "main", configuration);
    const startWorker = async name => {
        const target = await deployment.startTarget(name);
        const arrivals = [];
        target.setScript((call, socket) => {
            arrivals.push({ id: call.headers["attempt-id"], at: getNow() });
            setTimeout(() => socket.write(formatResponse(call, "done")), workMs);
        });
        store.put("servers", name, createTargetEntry(target));
        return { name, target, arrivals };
    };
    await startWorker("desk-1");
    const proxies = [];
    const routers = [];
    for (const [name, zone] of [["router-1", "zone-a"], ["router-2", "zone-b"]]) {
        const proxy = await startSilentProxy(deployment.nextHost(), store.address);
        proxies.push(proxy);
        routers.push(await deployment.startRouter(name, { storeAddress: proxy.address, zone }));
    }
    for (const router of routers) await deployment.waitForReady(router);
    /** Router by call. */
    const routerOf = new Map();
    let served = 0;
    const onOutcome = ({ id, router, status }) => {
        routerOf.set(id, router.name);
        if (status === 200) served += 1;
    };
    const callers = routers.flatMap(router =>
        Array.from({ length: callersPerRouter }, (_, index) =>
            startCaller({
                name: `${router.name}-caller-${index}`,
                router,
                path: "/order/x",
                getNow,
                onOutcome,
                pauseMs: 20,
            }))
    );
    let broken = 0;
    for (let round = 1; round <= rounds; round++) {
        const worker = await startWorker(`leaver-${round}`);
        await sleep(minWarmMs + round * warmStepMs);
        const silentAt = hasTrouble ? getNow() : -Infinity;
        if (hasTrouble) {
            const count = proxies.reduce((sum, proxy) => sum + proxy.silence(), 0);
            record(`round ${round}: ${count} open connections to the store go silent`);
        }
        await sleep(removalMs);
        store.remove("servers", worker.name);
        const removedAt = getNow();
        record(`round ${round}: the entry of ${worker.name} is removed`);
        await sleep(servesMs);
        const boundAt = removedAt + siteBounds.drainMs;
        // In touch again once `stableWindowMs` has passed since the connections were harmed.
        const judgedFrom = Math.max(boundAt, silentAt + siteBounds.stableWindowMs);
        const late = worker.arrivals.filter(({ at }) => at > judgedFrom);
        const lastAt = worker.arrivals.at(-1)?.at ?? removedAt;
        record(
            `round ${round}: ${worker.arrivals.length} calls reached ${worker.name}, the last one `
                + `${Math.round(lastAt - removedAt)} ms after its removal; ${late.length} after ${
                    Math.round(judgedFrom - removedAt)
                } ms`,
        );
        for (const { id, at } of late)
            record(`  ${id} from ${routerOf.get(id)} ${Math.round(at - removedAt)} ms after the removal`);
        broken += late.length;
        await worker.target.close();
    }
    await Promise.all(callers.map(caller => caller.stop()));
    await Promise.all(proxies.map(proxy => proxy.close()));
    record(`calls served: ${served}; calls that reached a target too late: ${broken}`);
    return broken > 0;
}

await runCase(import.meta.dirname, play);
