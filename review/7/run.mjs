/**
 * One part of a prompt crashes each worker that begins to write an answer on it: the first event is out when the worker
 * crashes. Sound requests share the other parts.
 */
import { performance } from "node:perf_hooks";
import {
    call,
    createConfiguration,
    hasTrouble,
    nextAddress,
    record,
    runCase,
    sleep,
    startRouter,
    startStoreStandIn,
} from "../harness-2/harness.mjs";
import { poisonPart, startModel } from "../harness-2/startModel.mjs";

/** `stableWindowMs` of the site. */
const stableMs = 3_000;
const playMs = 25_000;
const soundIntervalMs = 50;
const poisonIntervalMs = 1_000;

/** The rule counts from the fifth crash, and allows three requests. */
const countedFrom = 5;
const maxLate = 3;

await runCase(async () => {
    const store = await startStoreStandIn(nextAddress());
    store.put("config", "main", createConfiguration());
    const crashes = [];
    const poisonArrivals = [];

    for (const name of ["model-1", "model-2", "model-3", "model-4"]) {
        const onCrash = () => crashes.push(performance.now());
        const onPoison = () => poisonArrivals.push(performance.now());
        await startModel(name, store, { crashesAfter: "firstEvent", onCrash, onPoison });
    }
    const routers = [];
    for (const zone of ["zone-a", "zone-b"])
        routers.push(await startRouter({ name: `front-${zone}-1`, zone, storeAddress: store.address }));
    await sleep(stableMs + 200);

    let sent = 0;
    let soundSent = 0;
    let soundServed = 0;
    const send = async (router, isPoison) => {
        sent += 1;
        const id = `${isPoison ? "poison" : "sound"}-${sent}`;
        const parts = ["aa01:400", `${isPoison ? poisonPart : "bb02"}:500`, `${sent.toString(16)}:500`];
        const headers = {
            Connection: "close",
            "Deadline-Ms": "8000",
            Model: "m",
            "Token-Counts": "1400,80",
            "Prompt-Prefix": parts.join(","),
        };
        const answer = await call(router.address, {
            method: "POST",
            path: "/resumable/x",
            id,
            body: "a prompt",
            headers,
        });
        record(`${id}: ${answer.status}, complete ${answer.isComplete}`);
        if (isPoison) return;
        soundSent += 1;
        if (answer.status === 200 && answer.isComplete) soundServed += 1;
    };
    const endsAt = performance.now() + playMs;
    const open = [];
    const sendEvery = async (intervalMs, isPoison) => {
        for (let number = 0; performance.now() < endsAt; number++) {
            open.push(send(routers[number % routers.length], isPoison));
            await sleep(intervalMs);
        }
    };
    await Promise.all([sendEvery(soundIntervalMs, false), hasTrouble ? sendEvery(poisonIntervalMs, true) : undefined]);
    await Promise.all(open);

    const countedSince = (crashes[countedFrom - 1] ?? Infinity) + stableMs;
    const late = poisonArrivals.filter(at => at > countedSince).length;
    const summary =
        `${late} requests with the part reached workers later than ${stableMs} ms after crash ${countedFrom} `
        + `(allowed: ${maxLate}); ${crashes.length} crashes; ${soundServed} of ${soundSent} sound requests served`;
    return { isBroken: late > maxLate, summary };
});
