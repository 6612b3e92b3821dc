/** Stand-in for the platform: object API with watches, host list, request counts, rate limits and fault injection. */
import Router from "@koa/router";
import type { HostEntry } from "@rhubarbwheel/types/resources";
import Koa from "koa";
import type { Context } from "koa";
import { setTimeout as sleep } from "node:timers/promises";
import { createFaultInjector } from "./createFaultInjector.js";
import { createHostList } from "./createHostList.js";
import { createLoopbackServer } from "./createLoopbackServer.js";
import { createObjectStore } from "./createObjectStore.js";
import type { ObjectStore } from "./createObjectStore.js";
import { createRandom } from "./createRandom.js";
import { createRequestCounter } from "./createRequestCounter.js";
import type { RequestCounts, RequestType } from "./createRequestCounter.js";
import { BodyError, readJson } from "./readBody.js";

export interface PlatformFaults {
    /** Closes the connection of every API request; `/control` still responds. */
    readonly down?: boolean;
    /** Delay before each request is processed. */
    readonly delayMs?: number;
    /** Writes that are applied, but whose connection is closed: probability below 1, else a count. */
    readonly loseAnswers?: number;
    /** Writes that are not applied and whose connection is closed: probability below 1, else a count. */
    readonly loseRequests?: number;
    /** Writes whose connection is closed at once and that are applied `lateMs` later: probability or count. */
    readonly lateWrites?: number;
    readonly lateMs?: number;
    /** Reads, lists, watches and host list requests whose connection is closed: probability below 1, else a count. */
    readonly loseReads?: number;
    /** Closes all connections and refuses new ones for this time, `/control` included. */
    readonly refuseForMs?: number;
}

export interface PlatformStandInOptions {
    readonly seed?: number;
    readonly getNow?: () => number;
    readonly writesPerSecond?: number;
    readonly readsPerSecond?: number;
    readonly historyLength?: number;
    readonly hostLagMs?: number;
}

export interface PlatformStandIn {
    readonly listen: (port: number) => Promise<{ readonly port: number; }>;
    readonly close: () => Promise<void>;
    readonly setFaults: (faults: PlatformFaults) => void;
    readonly setHosts: (hosts: readonly HostEntry[], lagMs?: number) => void;
    readonly readCounts: () => RequestCounts;
    readonly store: ObjectStore;
}

/** Maximum size of a value, as specified by the platform. */
const maxValueBytes = 1_048_576;
const maxChangesPerWatch = 1_000;
const maxWatchTimeoutMs = 60_000;

type LossFault = "loseAnswers" | "loseRequests" | "lateWrites" | "loseReads";

/** Reads the expected version from the headers; `undefined` if they contain none. */
function readExpectedVersion(context: Context): number | undefined {
    if (context.get("if-none-match") === "*") return 0;
    const version = Number(context.get("if-match").replaceAll("\"", "") || Number.NaN);
    return Number.isSafeInteger(version) && version > 0 ? version : undefined;
}

export function createPlatformStandIn(opts: PlatformStandInOptions = {}): PlatformStandIn {
    const getNow = opts.getNow ?? (() => performance.now());
    const store = createObjectStore({ historyLength: opts.historyLength ?? 10_000 });
    const hosts = createHostList({ getNow, lagMs: opts.hostLagMs ?? 500 });
    const faults = createFaultInjector<LossFault>(createRandom(opts.seed ?? 1));
    const counter = createRequestCounter({
        getNow,
        limits: { writesPerSecond: opts.writesPerSecond ?? 400, readsPerSecond: opts.readsPerSecond ?? 2_000 },
    });
    let isDown = false;
    let delayMs = 0;
    let lateMs = 0;

    const destroyConnection = (context: Context): void => {
        context.respond = false;
        context.req.socket.destroy();
    };

    const setResponse = (context: Context, status: number, body: unknown): void => {
        context.status = status;
        context.body = body;
    };

    /** Counts the request and injects the faults that precede it; returns false if it needs no further processing. */
    const admitRequest = async (context: Context, type: RequestType): Promise<boolean> => {
        if (!counter.count(type)) {
            context.set("retry-after", "1");
            setResponse(context, 429, { error: "rate limit exceeded" });
            return false;
        }
        if (!isDown && delayMs > 0) await sleep(delayMs);
        if (isDown || (type !== "write" && faults.isInjected("loseReads"))) {
            destroyConnection(context);
            return false;
        }
        return true;
    };

    const handleWrite = async (context: Context, isDeletion: boolean): Promise<void> => {
        const value = isDeletion ? undefined : (await readJson(context.req, maxValueBytes + 1_024))["value"];
        if (!await admitRequest(context, "write")) return;
        const expectedVersion = readExpectedVersion(context);
        if (expectedVersion === undefined)
            return setResponse(context, 428, { error: "If-Match or If-None-Match: * is required" });
        if (!isDeletion && value === undefined) return setResponse(context, 400, { error: "value is required" });
        const { kind = "", name = "" } = context["params"] as Record<string, string>;
        const write = { kind, name, expectedVersion, writeId: context.get("write-id"), value };
        if (faults.isInjected("loseRequests")) return destroyConnection(context);
        if (faults.isInjected("lateWrites")) {
            setTimeout(() => store.write(write), lateMs).unref();
            return destroyConnection(context);
        }
        const result = store.write(write);
        if (result.type === "applied" && faults.isInjected("loseAnswers")) return destroyConnection(context);
        if (result.type === "applied") return setResponse(context, expectedVersion === 0 ? 201 : 200, result.object);
        const { current } = result;
        setResponse(context, 409, { currentVersion: current?.version ?? 0, deleted: current?.deleted ?? false });
    };

    /** Resolves on the first change of the kinds, on timeout, or when the connection closes. */
    const waitForChange = (context: Context, kinds: ReadonlySet<string>, timeoutMs: number): Promise<void> =>
        new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                unwatch();
                context.req.socket.off("close", finish);
                resolve();
            };
            const timer = setTimeout(finish, timeoutMs);
            const unwatch = store.watch(object => kinds.has(object.kind) && finish());
            context.req.socket.once("close", finish);
        });

    const handleWatch = async (context: Context): Promise<void> => {
        if (!await admitRequest(context, "watch")) return;
        const kinds = new Set(String(context.query["kinds"] ?? "").split(","));
        const afterRevision = Number(context.query["after"]);
        const timeoutMs = Math.min(Number(context.query["timeoutMs"] ?? 0), maxWatchTimeoutMs);
        if (!Number.isSafeInteger(afterRevision) || afterRevision < 0)
            return setResponse(context, 400, { error: "query parameter after is not a revision" });
        let listed = store.listChanges(kinds, afterRevision, maxChangesPerWatch);
        if (listed.type === "changes" && listed.changes.length === 0 && timeoutMs > 0) {
            const waitStartedAt = getNow();
            await waitForChange(context, kinds, timeoutMs);
            counter.countWatchSeconds(Math.max(0, Math.ceil((getNow() - waitStartedAt) / 1_000) - 1));
            if (isDown) return destroyConnection(context);
            listed = store.listChanges(kinds, afterRevision, maxChangesPerWatch);
        }
        if (listed.type === "compacted")
            return setResponse(context, 410, { error: "the history no longer contains this revision" });
        setResponse(context, 200, { revision: listed.revision, changes: listed.changes });
    };

    const applyFaults = (newFaults: PlatformFaults): void => {
        const { down, refuseForMs, delayMs: newDelayMs, lateMs: newLateMs, ...lossFaults } = newFaults;
        isDown = down ?? isDown;
        delayMs = newDelayMs ?? delayMs;
        lateMs = newLateMs ?? lateMs;
        faults.set(lossFaults);
        if (down === true) server.destroyConnections();
        if (refuseForMs !== undefined) server.refuseConnections(refuseForMs);
    };

    const router = new Router();
    router.get("/objects/:kind", async context => {
        if (!await admitRequest(context, "list")) return;
        setResponse(context, 200, { revision: store.getRevision(), items: store.list(context.params["kind"] ?? "") });
    });
    router.get("/objects/:kind/:name", async context => {
        if (!await admitRequest(context, "read")) return;
        const object = store.read(context.params["kind"] ?? "", context.params["name"] ?? "");
        setResponse(context, object === undefined ? 404 : 200, object ?? { error: "object not found" });
    });
    router.put("/objects/:kind/:name", context => handleWrite(context, false));
    router.delete("/objects/:kind/:name", context => handleWrite(context, true));
    router.get("/watch", handleWatch);
    router.get("/hosts", async context => {
        if (await admitRequest(context, "hosts")) setResponse(context, 200, { hosts: hosts.read() });
    });
    router.put("/control/hosts", async context => {
        const body = await readJson(context.req, maxValueBytes);
        if (typeof body["lagMs"] === "number") hosts.setLag(body["lagMs"]);
        if (Array.isArray(body["hosts"])) hosts.set(body["hosts"] as HostEntry[]);
        setResponse(context, 200, {});
    });
    router.put("/control/faults", async context => {
        const newFaults = await readJson(context.req, maxValueBytes) as PlatformFaults;
        setResponse(context, 200, {});
        // Applied after the response is sent, because some faults close this connection too.
        context.res.once("finish", () => applyFaults(newFaults));
    });
    router.get("/control/counts", context => setResponse(context, 200, counter.read()));

    const app = new Koa();
    app.silent = true;
    app.use(async (context, next) => {
        try {
            await next();
        }
        catch (error) {
            if (error instanceof BodyError) setResponse(context, error.status, { error: error.message });
            else destroyConnection(context);
        }
    });
    app.use(router.routes());
    const server = createLoopbackServer(app.callback());
    return {
        listen: server.listen,
        close: server.close,
        setFaults: applyFaults,
        setHosts: (newHosts, lagMs) => {
            if (lagMs !== undefined) hosts.setLag(lagMs);
            hosts.set(newHosts);
        },
        readCounts: counter.read,
        store,
    };
}
