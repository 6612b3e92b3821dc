/** Callers that keep their connections and send one call after the other, and what became of each call. */
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { parseResponse } from "../../platform/lib/test/stand-ins/callRouter.js";

const deadlineMs = 15_000;

/** Pause after a call that got no success, before the caller opens a new connection. */
const reconnectMs = 200;

function openConnection(address) {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    return new Promise(resolve => {
        socket.once("connect", () => resolve(socket));
        socket.once("close", () => resolve(undefined));
    });
}

/** Sends a call and reads its response; `isComplete` is false if the connection ended before. */
function exchange(socket, text) {
    return new Promise(resolve => {
        let received = "";
        const finish = () => {
            socket.off("data", onData);
            socket.off("close", finish);
            resolve(parseResponse(received));
        };
        const onData = chunk => {
            received += chunk.toString("latin1");
            if (parseResponse(received).isComplete) finish();
        };
        socket.on("data", onData);
        socket.once("close", finish);
        socket.write(text);
    });
}

/**
 * Starts a caller. Each outcome has the id of the call, the router, whether the connection had served a call before,
 * when the call was sent, its status (0 without a response), and whether the response was complete.
 */
export function startCaller({ name, router, path, method = "POST", body = "order", getNow, onOutcome, pauseMs = 0 }) {
    let isStopped = false;
    let calls = 0;

    const run = async () => {
        let socket;
        let served = 0;
        while (!isStopped) {
            if (socket === undefined || socket.destroyed) {
                socket = await openConnection(router.front);
                served = 0;
            }
            if (socket === undefined) {
                await sleep(reconnectMs);
                continue;
            }
            const id = `${name}-${++calls}`;
            const sentAt = getNow();
            const { status, isComplete, headers } = await exchange(
                socket,
                `${method} ${path} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n`
                    + `Content-Length: ${body.length}\r\n\r\n${body}`,
            );
            onOutcome({ id, router, isKept: served > 0, sentAt, endedAt: getNow(), status, isComplete });
            served += 1;
            const mustClose = headers.connection === "close" || !isComplete;
            if (mustClose) socket.destroy();
            if (status !== 200) await sleep(reconnectMs);
            else if (pauseMs > 0) await sleep(pauseMs);
        }
        socket?.destroy();
    };

    const ended = run();
    return {
        stop: () => {
            isStopped = true;
            return ended;
        },
    };
}
