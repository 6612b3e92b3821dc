/** Model worker that crashes on a part of a prompt, and is back under its id after some seconds. */
import { createServer } from "node:http";
import {
    createTargetEntry,
    formatChunk,
    formatEvent,
    formatStreamHead,
    nextAddress,
    record,
    respondHealth,
    sleep,
} from "./harness.mjs";

/** Part that crashes a worker. */
export const poisonPart = "dead01";

const port = 9_000;
const prefillMs = 60;
const eventCount = 10;
const eventIntervalMs = 50;

/** Time from the first event of an answer to the crash. */
const crashDelayMs = 5;

/** A worker that has crashed is back after some seconds. */
const restartMs = 2_000;

/**
 * `crashesAfter` tells when the worker crashes: at its `firstEvent`, or before it has written anything (`nothing`).
 * `onCrash` and `onPoison` are called at each crash, and at each request with the part.
 */
export async function startModel(name, store, { crashesAfter, onCrash, onPoison }) {
    const host = nextAddress();
    const sockets = new Set();
    let server;
    let born = 1_700_000_000_000;
    const crash = () => {
        if (!server.listening) return;
        onCrash();
        record(`${name} crashes with ${sockets.size} connections`);
        server.close();
        for (const socket of sockets) socket.resetAndDestroy();
        setTimeout(() => void start(), restartMs);
    };
    const run = async (received, socket) => {
        const isPoison = received.headers["prompt-prefix"].includes(poisonPart);
        record(`${name} runs ${received.headers["attempt-id"]}`);
        if (isPoison) onPoison(received.headers["attempt-id"]);
        await sleep(prefillMs);
        if (isPoison && crashesAfter === "nothing") return crash();
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
        await new Promise(resolve => server.listen(port, host, resolve));
        born += 60_000;
        store.put("servers", name, createTargetEntry({ address: `${host}:${port}` }, "engine", { born }));
        record(`${name} has started`);
    };
    await start();
}
