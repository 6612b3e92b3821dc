/** Starts the built router with the deploy file's run line, beside the project's stand-ins, and records what they see. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

export { startStoreStandIn } from "../../platform/lib/test/stand-ins/startStoreStandIn.js";
export {
    formatChunk,
    formatEvent,
    formatResponse,
    formatStreamHead,
    startTargetStandIn,
} from "../../platform/lib/test/stand-ins/startTargetStandIn.js";
export { call, openKeptConnection, readSlowly } from "./callRouter.mjs";
export { sleep };

const exitCodes = { held: 0, broken: 1, couldNotRun: 2 };

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

const callerPort = 8783;
const readyPort = 8780;
const readyTimeoutMs = 20_000;

/** A case may take 120 seconds. */
const maxPlayMs = 110_000;

const startedAt = performance.now();
const recordFile = process.env.RECORD_FILE ?? "record.txt";
writeFileSync(recordFile, "");

/** Writes a line of what was sent, answered or run, with the seconds since the start. */
export function record(text) {
    appendFileSync(recordFile, `${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}\n`);
}

/** Returns loopback addresses that other runs on this machine do not use. */
const block = `127.${1 + (process.pid >> 8) % 250}.${process.pid & 255}`;
let lastHost = 0;
export const nextAddress = () => `${block}.${++lastHost}`;

/** Bounds of the sites cbr-fleet and kaurimbi-press. */
const usualBounds = {
    reuseAfterS: 2,
    stableWindowMs: 3_000,
    drainMs: 2_000,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2_000,
    strictRevoke: true,
    revokeMs: 5_000,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    retryBudgetSlack: 116,
    coldOverage: 1.5,
    coldSlack: 5,
    evacuateMs: 5_000,
    recoverS: 12,
};

function formatSettings({ name, ip, zone, storeAddress, cores, bounds }) {
    return JSON.stringify({
        nodeName: name,
        role: "router",
        machineClass: "front",
        serves: ["front"],
        ip,
        zone,
        region: "region-1",
        zones: { "zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1" },
        listen: { front: `${ip}:${callerPort}`, ready: `${ip}:${readyPort}` },
        portRange: [7400, 7415],
        seeds: [],
        bootstrap: true,
        limits: { cpuShare: 0.459, cores, memoryMb: 272, maxFds: 2_069, linkMbps: 490, diskMb: 0 },
        discovery: "platform",
        heartbeatMs: 1_200,
        bounds: { ...usualBounds, ...bounds },
        provider: { addr: storeAddress, form: "objects", writesPerS: 400, readsPerS: 2_000, historyS: 20 },
    });
}

const healthPath = "/health";

const route = { host: "calls.example", timeoutMs: 15_000, latencyTargetMs: 800, maxAttempts: 2, public: true };
const resumable = { ...route, kind: "streaming", service: "engine", resumable: true };

/** Configuration with a route of each kind. */
export function createConfiguration(overrides = {}) {
    return {
        version: 1,
        routes: [
            { ...route, name: "safe", pathPrefix: "/safe/", kind: "safe", service: "plain" },
            { ...route, name: "unsafe", pathPrefix: "/unsafe/", kind: "unsafe", service: "plain", maxAttempts: 1 },
            { ...route, name: "orders", pathPrefix: "/orders/", kind: "unsafe", service: "orders", maxAttempts: 1 },
            { ...route, name: "keyed", pathPrefix: "/keyed/", kind: "safe", service: "plain", public: false },
            { ...route, name: "stream", pathPrefix: "/stream/", kind: "streaming", service: "engine" },
            { ...resumable, name: "resumable", pathPrefix: "/resumable/" },
        ],
        services: [
            { name: "plain", maxConns: 200, coldPerS: 16, healthPath },
            { name: "orders", maxConns: 200 },
            { name: "engine", maxConns: 200, engine: { slots: 128, kvTokens: 486_851 } },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 30_000 },
        tenants: [{ name: "ada", apiKeys: ["key-of-ada"] }],
        ...overrides,
    };
}

/** Entry of a worker in the store. */
export function createTargetEntry(target, service, overrides = {}) {
    return {
        service,
        addr: target.address,
        zone: "zone-a",
        version: "v1",
        slots: 128,
        state: "ready",
        coldLeftMs: 0,
        seq: 1,
        born: 1_700_000_000_000,
        ...overrides,
    };
}

/** Responds to a health check and returns true, or returns false for any other request. */
export function respondHealth(received, socket, { name, coldMs = 0 }) {
    if (received.path !== healthPath) return false;
    socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${name}\r\nCold-Ms: ${coldMs}\r\nContent-Length: 0\r\n\r\n`);
    return true;
}

function readRunLine() {
    const run = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    if (run === undefined) throw new Error("deploy/system.toml has no run line");
    return run.split(" ");
}

const folder = mkdtempSync(join(tmpdir(), "review-"));
const children = new Set();

/** Whether the router's health check passes. */
export function isReady(ip) {
    return new Promise(resolve => {
        const request = get(`http://${ip}:${readyPort}/api/ready`, { agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.once("error", () => resolve(false));
    });
}

export async function waitUntil(check, timeoutMs) {
    const endsAt = performance.now() + timeoutMs;
    while (performance.now() < endsAt) {
        if (await check()) return true;
        await sleep(20);
    }
    return false;
}

/** Starts a router and waits until it is ready. `exit` is set once its process has ended. */
export async function startRouter({ name, zone = "zone-a", cores = 1, storeAddress, ip = nextAddress(), bounds }) {
    const settingsFile = join(folder, `${name}.json`);
    writeFileSync(settingsFile, formatSettings({ name, ip, zone, storeAddress, cores, bounds }));
    const [program, ...args] = readRunLine();
    const child = spawn(program === "node" ? process.execPath : program, args, {
        env: { PATH: process.env.PATH, HOME: process.env.HOME, RHUBARBWHEEL_NODE_FILE: settingsFile },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const router = { name, ip, address: `${ip}:${callerPort}`, child, output: "", errors: "", exit: undefined };
    router.ended = new Promise(resolve =>
        child.once("exit", (code, signal) => {
            router.exit = { code, signal };
            children.delete(child);
            record(`${name} ended: code ${code}, signal ${signal}`);
            resolve();
        })
    );
    children.add(child);
    child.stdout.on("data", chunk => (router.output += String(chunk)));
    child.stderr.on("data", chunk => (router.errors += String(chunk)));
    record(`${name} started`);
    if (!await waitUntil(() => isReady(ip), readyTimeoutMs)) throw new Error(`${name} did not become ready`);
    record(`${name} is ready`);
    return router;
}

async function end(exitCode) {
    for (const child of children) child.kill("SIGKILL");
    await sleep(100);
    rmSync(folder, { recursive: true, force: true });
    process.exit(exitCode);
}

/** Runs a case and exits with its result; every process that it started is ended first. */
export async function runCase(play) {
    const stop = reason => {
        record(reason);
        void end(exitCodes.couldNotRun);
    };
    setTimeout(() => stop("the case took too long"), maxPlayMs);
    // Node's exit code for these is that of a broken rule.
    process.on("uncaughtException", error => stop(`could not run: ${error.stack}`));
    process.on("unhandledRejection", error => stop(`could not run: ${String(error)}`));
    for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => stop(`ended by ${signal}`));
    try {
        const { isBroken, summary } = await play();
        const result = `${isBroken ? "broken" : "held"}: ${summary}`;
        record(result);
        process.stdout.write(`${result}\n`);
        await end(isBroken ? exitCodes.broken : exitCodes.held);
    }
    catch (error) {
        record(`could not run: ${error.stack}`);
        process.stdout.write(`could not run: ${error.message}\n`);
        await end(exitCodes.couldNotRun);
    }
}
