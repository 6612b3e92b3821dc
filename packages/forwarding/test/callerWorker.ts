/** Worker thread whose callers connect at a fixed rate, send one call each and disconnect if it is not answered. */
import { connect } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

export interface CallerWorkerData {
    /** Loopback address of the server and of the callers, whose many ports other tests must not run into. */
    readonly host: string;
    readonly port: number;
    readonly callsPerSecond: number;
    /** Time for which a caller waits for its connection and the response. */
    readonly patienceMs: number;
    readonly durationMs: number;
}

/** Responses in the first and the second half of the duration. */
export interface CallerWorkerResult {
    readonly answered: readonly [number, number];
}

const { host, port, callsPerSecond, patienceMs, durationMs } = workerData as CallerWorkerData;
const startedAt = performance.now();
const answered: [number, number] = [0, 0];
let startedCalls = 0;

function startCall(): void {
    const half = performance.now() - startedAt < durationMs / 2 ? 0 : 1;
    const socket = connect({ port, host, localAddress: host });
    const timer = setTimeout(() => socket.destroy(), patienceMs);
    socket.on("connect", () => socket.write("GET / HTTP/1.1\r\nHost: calls.example\r\n\r\n"));
    socket.once("data", () => {
        answered[half] += 1;
        socket.destroy();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => clearTimeout(timer));
}

const interval = setInterval(() => {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= durationMs) {
        clearInterval(interval);
        setTimeout(() => {
            const result: CallerWorkerResult = { answered };
            parentPort?.postMessage(result);
        }, patienceMs);
        return;
    }
    for (; startedCalls < elapsedMs * callsPerSecond / 1_000; startedCalls++) startCall();
}, 5);
