/**
 * One part of a prompt crashes each worker that begins to write an answer on it: the first event is out when the worker
 * crashes. Sound requests share the other parts.
 */
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import {
    call,
    createConfiguration,
    createTargetEntry,
    formatChunk,
    formatEvent,
    formatStreamHead,
    hasTrouble,
    nextAddress,
    record,
    respondHealth,
    runCase,
    sleep,
    startRouter,
    startStoreStandIn,
} from "../harness-2/harness.mjs";

/** `stableWindowMs` of the site. */
const stableMs = 3_000;
const playMs = 25_000;
const soundIntervalMs = 50;
const poisonIntervalMs = 1_000;

const poisonPart = "dead01";
const prefillMs = 60;
const eventCount = 10;
const eventIntervalMs = 50;

/** Time from the first event of an answer to the crash. */
const crashDelayMs = 5;

/** A worker that has crashed is back after some seconds. */
const restartMs = 2_000;

/** The rule counts from the fifth crash, and allows three requests. */
const countedFrom = 5;
const maxLate = 3;

await runCase(async () => {
    const store = await startStoreStandIn(nextAddress());
    store.put("config", "main", createConfiguration());
    const crashes = [];
    const poisonArrivals = [];

    const startWorker = async name => {
        const host = nextAddress();
        const sockets = new Set();
        let server;
        let born = 1_700_000_000_000;
        const crash = () => {
            if (!server.listening) return;
            crashes.push(performance.now());
            record(`${name} crashes, crash ${crashes.length}, with ${sockets.size} connections`);
            server.close();
            for (const socket of sockets) socket.resetAndDestroy();
            setTimeout(() => void start(), restartMs);
        };
        const run = async (received, socket) => {
            const id = received.headers["attempt-id"];
            const isPoison = received.headers["prompt-prefix"].includes(poisonPart);
            record(`${name} runs ${id}`);
            if (isPoison) poisonArrivals.push(performance.now());
            await sleep(prefillMs);
            socket.write(formatStreamHead(received));
            for (let event = 1; event <= eventCount && !socket.destroyed; event++) {
                socket.write(formatChunk(formatEvent(event)));
                await sleep(isPoison ? crashDelayMs : eventIntervalMs);
                if (isPoison) return crash();
            }
            if (!socket.destroyed) socket.write(formatChunk(""));
        };
        const start = async () => {
            server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
                const received = { path: incoming.url, headers: incoming.headers };
                incoming.resume();
                incoming.once("end", () => {
                    if (incoming.url === "/api/kv-list") return void response.end(JSON.stringify({ held: [] }));
                    response.detachSocket(incoming.socket);
                    if (!respondHealth(received, incoming.socket, { name })) void run(received, incoming.socket);
                });
            });
            server.on("connection", socket => {
                sockets.add(socket);
                socket.on("error", () => undefined);
                socket.once("close", () => sockets.delete(socket));
            });
            await new Promise(resolve => server.listen(9_000, host, resolve));
            born += 60_000;
            store.put("servers", name, createTargetEntry({ address: `${host}:9000` }, "engine", { born }));
            record(`${name} has started`);
        };
        await start();
    };
    for (const name of ["model-1", "model-2", "model-3", "model-4"]) await startWorker(name);
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
