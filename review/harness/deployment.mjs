/**
 * A small deployment on loopback addresses: the routers as separate processes, started with the `run` line of the
 * deploy file, and the project's own stand-ins for the store and the targets.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { startStoreStandIn } from "../../platform/lib/test/stand-ins/startStoreStandIn.js";
import { startTargetStandIn } from "../../platform/lib/test/stand-ins/startTargetStandIn.js";

const exitCodes = { held: 0, broken: 1, notRun: 2 };

const readyTimeoutMs = 20_000;

const readyPollMs = 50;

/** Time after which a case that has not ended counts as not run. */
const maxCaseMs = 112_000;

/** Bounds of the site files, as a settings file gives them. */
export const siteBounds = {
    drainMs: 2000,
    graceS: 8,
    configApplyMs: 2000,
    revokeMs: 5000,
    evacuateMs: 5000,
    stableWindowMs: 3000,
    lossSlackMs: 200,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    retryBudgetSlack: 116,
    coldOverage: 1.5,
    coldSlack: 5,
};

function findFreePort(host) {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** The command of the deploy file, without a shell. */
function readRunCommand() {
    const deployFile = readFileSync("deploy/system.toml", "utf8");
    const run = /^run = "(.*)"$/m.exec(deployFile)?.[1];
    if (run === undefined) throw new Error("deploy/system.toml has no run line");
    const [program, ...args] = run.split(" ");
    return { program: program === "node" ? process.execPath : program, args };
}

function pickEnvironment() {
    const names = ["PATH", "HOME", "LANG"];
    return Object.fromEntries(names.filter(name => name in process.env).map(name => [name, process.env[name]]));
}

/** Sends a health check as the platform's load balancer does. */
function checkReady(address) {
    return new Promise(resolve => {
        const check = request(`http://${address}/api/ready`, { timeout: 500 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        check.once("timeout", () => check.destroy());
        check.once("error", () => resolve(false));
        check.end();
    });
}

export function createDeployment(folder) {
    const startedAt = performance.now();
    const lines = [];
    const routers = [];
    const closers = [];
    const block = `127.${100 + (process.pid >> 8) % 100}.${process.pid & 255}`;
    let lastHost = 0;
    const nextHost = () => `${block}.${++lastHost}`;
    const settingsFolder = mkdtempSync(join(tmpdir(), "rhubarbwheel-review-"));

    /** Milliseconds since the start of the script. */
    const getNow = () => performance.now() - startedAt;
    const record = text => void lines.push(`${(getNow() / 1000).toFixed(3).padStart(8)} s  ${text}`);
    const writeRecord = () => writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);

    const startStore = async () => {
        const store = await startStoreStandIn(nextHost());
        closers.push(() => store.close());
        return store;
    };

    const startTarget = async (name, host = nextHost()) => {
        const target = await startTargetStandIn(name, host);
        closers.push(() => target.close());
        return target;
    };

    const spawnRouter = router => {
        const { program, args } = readRunCommand();
        const child = spawn(program, args, {
            env: { ...pickEnvironment(), RHUBARBWHEEL_NODE_FILE: router.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        router.child = child;
        router.isRunning = true;
        router.log = "";
        for (const stream of [child.stdout, child.stderr])
            stream.setEncoding("utf8").on("data", text => (router.log += text));
        router.ended = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                router.isRunning = false;
                record(`${router.name} ended: exit code ${code}, signal ${signal}`);
                resolve({ code, signal });
            })
        );
    };

    const waitForReady = async router => {
        const deadlineAt = getNow() + readyTimeoutMs;
        while (getNow() < deadlineAt) {
            if (await checkReady(router.ready)) return;
            await sleep(readyPollMs);
        }
        throw new Error(`${router.name} did not become ready: ${router.log.slice(-2000)}`);
    };

    const startRouter = async (name, { storeAddress, zone = "zone-a", bounds = {} }) => {
        const ip = nextHost();
        const [front, ready, peer] = await Promise.all([1, 2, 3].map(() => findFreePort(ip)));
        const settingsFile = join(settingsFolder, `${name}.json`);
        const settings = {
            nodeName: name,
            role: "router",
            machineClass: "front",
            serves: ["front"],
            ip,
            zone,
            region: "region-1",
            zones: { "zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1" },
            listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
            portRange: [peer, peer],
            limits: { cpuShare: 0.459, cores: 1, memoryMb: 186, maxFds: 2069, linkMbps: 490, diskMb: 0 },
            bounds: { ...siteBounds, ...bounds },
            provider: { addr: storeAddress, form: "objects", writesPerS: 400, readsPerS: 2000, historyS: 20 },
        };
        writeFileSync(settingsFile, JSON.stringify(settings));
        const router = { name, ip, front: `${ip}:${front}`, ready: `${ip}:${ready}`, settingsFile };
        routers.push(router);
        spawnRouter(router);
        return router;
    };

    const close = async () => {
        for (const { child } of routers) child.kill("SIGKILL");
        await Promise.all(routers.map(({ ended }) => ended));
        await Promise.all(closers.map(closeOne => closeOne()));
        rmSync(settingsFolder, { recursive: true });
    };

    return {
        record,
        writeRecord,
        getNow,
        nextHost,
        startStore,
        startTarget,
        startRouter,
        spawnRouter,
        waitForReady,
        close,
    };
}

/**
 * Runs a case. `play` returns how often the rule was broken, or throws if the case could not run. The exit code is 1 if
 * the rule was broken, 0 if it held, and 2 if the case could not run.
 */
export async function runCase(folder, play) {
    const hasTrouble = process.env.TROUBLE !== "0";
    const deployment = createDeployment(folder);
    deployment.record(hasTrouble ? "with the disruption" : "TROUBLE=0: without the disruption");
    let exitCode = exitCodes.notRun;
    try {
        const timeout = sleep(maxCaseMs, undefined, { ref: false }).then(() => {
            throw new Error(`the case has not ended after ${maxCaseMs} ms`);
        });
        const isBroken = await Promise.race([play(deployment, hasTrouble), timeout]);
        exitCode = isBroken ? exitCodes.broken : exitCodes.held;
        deployment.record(isBroken ? "RESULT: the rule is broken" : "RESULT: the rule held");
    }
    catch (error) {
        deployment.record(`RESULT: not run: ${error.stack ?? error}`);
    }
    await deployment.close();
    deployment.writeRecord();
    console.log(`exit code ${exitCode}; see record.txt`);
    process.exit(exitCode);
}
