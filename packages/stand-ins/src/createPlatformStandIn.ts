/** Stand-in for the hosting platform: object API with watches, host list, call counts, rate limits and faults. */
import Router from "@koa/router";
import type { HostEntry } from "@rhubarbwheel/types/resources";
import Koa from "koa";
import type { Context } from "koa";
import { setTimeout as sleep } from "node:timers/promises";
import { createCallCounter } from "./createCallCounter.js";
import type { CallCounts, CallType } from "./createCallCounter.js";
import { createFaultPlan } from "./createFaultPlan.js";
import { createHostList } from "./createHostList.js";
import { createObjectStore } from "./createObjectStore.js";
import type { ObjectStore } from "./createObjectStore.js";
import { createRandom } from "./createRandom.js";
import { createServerHarness } from "./createServerHarness.js";
import { BodyError, readJson } from "./readBody.js";

export interface PlatformFaults {
    /** Drops the connection of every call of the API; `/control` still answers. */
    readonly down?: boolean;
    /** Waits before each call is carried out. */
    readonly delayMs?: number;
    /** Writes that are applied but whose connection is dropped: probability below 1, else a count. */
    readonly loseAnswers?: number;
    /** Writes whose connection is dropped before they are applied: probability below 1, else a count. */
    readonly loseRequests?: number;
    /** Writes whose connection is dropped at once and that are applied `lateMs` later. */
    readonly lateWrites?: number;
    readonly lateMs?: number;
    /** Reads whose connection is dropped: probability below 1, else a count. */
    readonly loseReads?: number;
    /** Breaks all connections and refuses new ones for this time, `/control` included. */
    readonly refuseForMs?: number;
}

export interface PlatformStandInOptions {
    readonly seed?: number;
    readonly clock?: () => number;
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
    readonly readCounts: () => CallCounts;
    readonly store: ObjectStore;
}

/** Most bytes of a value, as the platform states it. */
const valueLimitBytes = 1_048_576;
const watchPageLimit = 1_000;
const watchTimeoutLimitMs = 60_000;

type LostWrite = "loseAnswers" | "loseRequests" | "lateWrites" | "loseReads";

/** Reads the version that the caller expects; `undefined` when the headers name none. */
function readExpectedVersion(context: Context): number | undefined {
    if (context.get("if-none-match") === "*") return 0;
    const version = Number(context.get("if-match").replaceAll("\"", "") || Number.NaN);
    return Number.isSafeInteger(version) && version > 0 ? version : undefined;
}

export function createPlatformStandIn(opts: PlatformStandInOptions = {}): PlatformStandIn {
    const clock = opts.clock ?? (() => performance.now());
    const store = createObjectStore({ historyLength: opts.historyLength ?? 10_000 });
    const hosts = createHostList({ clock, lagMs: opts.hostLagMs ?? 500 });
    const faults = createFaultPlan<LostWrite>(createRandom(opts.seed ?? 1));
    const counter = createCallCounter({
        clock,
        limits: { writesPerSecond: opts.writesPerSecond ?? 400, readsPerSecond: opts.readsPerSecond ?? 2_000 },
    });
    let isDown = false;
    let delayMs = 0;
    let lateMs = 0;

    const dropConnection = (context: Context): void => {
        context.respond = false;
        context.req.socket.destroy();
    };

    const setAnswer = (context: Context, status: number, body: unknown): void => {
        context.status = status;
        context.body = body;
    };

    /** Counts the call and applies the faults that come before it; false when it is already answered. */
    const admitCall = async (context: Context, type: CallType): Promise<boolean> => {
        if (!counter.count(type)) {
            context.set("retry-after", "1");
            setAnswer(context, 429, { error: "rate limit" });
            return false;
        }
        if (!isDown && delayMs > 0) await sleep(delayMs);
        if (isDown || (type !== "write" && faults.take("loseReads"))) {
            dropConnection(context);
            return false;
        }
        return true;
    };

    const writeObject = async (context: Context, isDeletion: boolean): Promise<void> => {
        const value = isDeletion ? undefined : (await readJson(context.req, valueLimitBytes + 1_024))["value"];
        if (!await admitCall(context, "write")) return;
        const expectedVersion = readExpectedVersion(context);
        if (expectedVersion === undefined)
            return setAnswer(context, 428, { error: "If-Match or If-None-Match: * is required" });
        if (!isDeletion && value === undefined) return setAnswer(context, 400, { error: "value is required" });
        const { kind = "", name = "" } = context["params"] as Record<string, string>;
        const write = { kind, name, expectedVersion, writeId: context.get("write-id"), value };
        if (faults.take("loseRequests")) return dropConnection(context);
        if (faults.take("lateWrites")) {
            setTimeout(() => store.write(write), lateMs).unref();
            return dropConnection(context);
        }
        const result = store.write(write);
        if (result.type === "applied" && faults.take("loseAnswers")) return dropConnection(context);
        if (result.type === "applied") return setAnswer(context, expectedVersion === 0 ? 201 : 200, result.object);
        const { current } = result;
        setAnswer(context, 409, { currentVersion: current?.version ?? 0, deleted: current?.deleted ?? false });
    };

    /** Resolves after the first change of the kinds, the timeout, or the end of the connection. */
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

    const answerWatch = async (context: Context): Promise<void> => {
        if (!await admitCall(context, "watch")) return;
        const kinds = new Set(String(context.query["kinds"] ?? "").split(","));
        const after = Number(context.query["after"]);
        const timeoutMs = Math.min(Number(context.query["timeoutMs"] ?? 0), watchTimeoutLimitMs);
        if (!Number.isSafeInteger(after) || after < 0)
            return setAnswer(context, 400, { error: "after is not a revision" });
        let found = store.listChanges(kinds, after, watchPageLimit);
        if (found.type === "changes" && found.changes.length === 0 && timeoutMs > 0) {
            const since = clock();
            await waitForChange(context, kinds, timeoutMs);
            counter.countWatchSeconds(Math.max(0, Math.ceil((clock() - since) / 1_000) - 1));
            if (isDown) return dropConnection(context);
            found = store.listChanges(kinds, after, watchPageLimit);
        }
        if (found.type === "gone")
            return setAnswer(context, 410, { error: "the history no longer holds this revision" });
        setAnswer(context, 200, { revision: found.revision, changes: found.changes });
    };

    const applyFaults = (wanted: PlatformFaults): void => {
        const { down, refuseForMs, delayMs: wantedDelayMs, lateMs: wantedLateMs, ...lost } = wanted;
        isDown = down ?? isDown;
        delayMs = wantedDelayMs ?? delayMs;
        lateMs = wantedLateMs ?? lateMs;
        faults.set(lost);
        if (down === true) server.dropConnections();
        if (refuseForMs !== undefined) server.refuseConnections(refuseForMs);
    };

    const router = new Router();
    router.get("/objects/:kind", async context => {
        if (!await admitCall(context, "list")) return;
        setAnswer(context, 200, { revision: store.getRevision(), items: store.list(context.params["kind"] ?? "") });
    });
    router.get("/objects/:kind/:name", async context => {
        if (!await admitCall(context, "read")) return;
        const object = store.read(context.params["kind"] ?? "", context.params["name"] ?? "");
        setAnswer(context, object === undefined ? 404 : 200, object ?? { error: "no such object" });
    });
    router.put("/objects/:kind/:name", context => writeObject(context, false));
    router.delete("/objects/:kind/:name", context => writeObject(context, true));
    router.get("/watch", answerWatch);
    router.get("/hosts", async context => {
        if (await admitCall(context, "hosts")) setAnswer(context, 200, { hosts: hosts.read() });
    });
    router.put("/control/hosts", async context => {
        const body = await readJson(context.req, valueLimitBytes);
        if (typeof body["lagMs"] === "number") hosts.setLag(body["lagMs"]);
        if (Array.isArray(body["hosts"])) hosts.set(body["hosts"] as HostEntry[]);
        setAnswer(context, 200, {});
    });
    router.put("/control/faults", async context => {
        const wanted = await readJson(context.req, valueLimitBytes) as PlatformFaults;
        setAnswer(context, 200, {});
        // Applied after the answer has left, because some faults break this connection too.
        context.res.once("finish", () => applyFaults(wanted));
    });
    router.get("/control/counts", context => setAnswer(context, 200, counter.read()));

    const app = new Koa();
    app.silent = true;
    app.use(async (context, next) => {
        try {
            await next();
        }
        catch (error) {
            if (error instanceof BodyError) setAnswer(context, error.status, { error: error.message });
            else dropConnection(context);
        }
    });
    app.use(router.routes());
    const server = createServerHarness(app.callback());
    return {
        listen: server.listen,
        close: server.close,
        setFaults: applyFaults,
        setHosts: (wanted, lagMs) => {
            if (lagMs !== undefined) hosts.setLag(lagMs);
            hosts.set(wanted);
        },
        readCounts: counter.read,
        store,
    };
}
