/** Starts a fleet of separate processes on loopback and writes its configuration through the operators' interface. */
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { findFreePorts } from "./findFreePorts.js";
import type { FleetPlan, ServicePlan } from "./fleetPlan.js";
import { buildServiceSpec, buildWorkspaceSpec, fleetSecret, operatorToken } from "./fleetPlan.js";
import { startForwarder } from "./startForwarder.js";
import type { Forwarder } from "./startForwarder.js";
import type { RunningProcess } from "./startProcess.js";
import { startProcess } from "./startProcess.js";

export interface RunningRouter {
    readonly name: string;
    readonly failureDomain: string;
    readonly url: string;
    /** `ip:port` of the peer interface. */
    readonly peerAddress: string;
    process: RunningProcess;
    /** Starts the router again, empty, on the same ports. */
    readonly restart: () => Promise<void>;
}

export interface RunningTarget {
    readonly name: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly url: string;
    readonly process: RunningProcess;
}

export interface Fleet {
    readonly platform: RunningProcess;
    readonly platformUrl: string;
    readonly routers: readonly RunningRouter[];
    readonly targets: readonly RunningTarget[];
    readonly writeResource: (kind: ResourceKind, name: string, spec: object, version: number) => Promise<WriteAnswer>;
    /** Cuts every router off from every other one; needs `forwardsPeers` in the plan. */
    readonly cutPeers: () => void;
    readonly healPeers: () => void;
    readonly stop: () => Promise<void>;
}

export interface WriteAnswer {
    readonly status: number;
    readonly body: unknown;
}

const readyLimitMs = 20_000;
const portsPerRouter = 2;

export async function startFleet(plan: FleetPlan): Promise<Fleet> {
    const platform = await startProcess({
        name: "platform",
        script: resolveScript("stand-ins", "runPlatform"),
        arguments: [...(plan.platformFlags ?? [])],
    });
    const platformUrl = `http://127.0.0.1:${platform.port}`;
    const targets = (await Promise.all(plan.services.map(startTargets))).flat();
    const { routers, forwarders } = await startRouters(plan, platformUrl);
    const stop = async () => {
        await Promise.all(routers.map(router => router.process.stop()));
        await Promise.all([platform, ...targets.map(target => target.process)].map(running => running.stop()));
        await Promise.all(forwarders.map(forwarder => forwarder.close()));
    };
    try {
        await Promise.all(routers.map(router => waitForStatus(`${router.url}/livez`)));
        await waitForStatus(`${routers[0]!.url}/readyz`);
        await writeConfiguration(plan, routers[0]!.url, targets);
        await Promise.all(routers.map(router => waitForStatus(`${router.url}/readyz`)));
    }
    catch (error) {
        await stop();
        throw error;
    }
    const writeResource = (kind: ResourceKind, name: string, spec: object, version: number) =>
        putResource(routers[0]!.url, { kind, name, spec, version });
    const cutPeers = () => forwarders.forEach(forwarder => forwarder.cut());
    const healPeers = () => forwarders.forEach(forwarder => forwarder.heal());
    return { platform, platformUrl, routers, targets, writeResource, cutPeers, healPeers, stop };
}

function resolveScript(packageName: string, file: string): string {
    return fileURLToPath(new URL(`../../../${packageName}/lib/src/${file}.js`, import.meta.url));
}

function startTargets(service: ServicePlan): Promise<readonly RunningTarget[]> {
    const script = resolveScript("stand-ins", service.kind === "model" ? "runModel" : "runPlain");
    return Promise.all(service.failureDomains.map(async (failureDomain, index) => {
        const name = `${service.name}-${index}`;
        const flags = [`--coldLimit=${service.coldLimit}`, ...service.flags];
        const running = await startProcess({ name, script, arguments: flags });
        return {
            name,
            service: service.name,
            failureDomain,
            url: `http://127.0.0.1:${running.port}`,
            process: running,
        };
    }));
}

interface RouterPorts {
    readonly name: string;
    readonly failureDomain: string;
    readonly callerPort: number;
    readonly peerPort: number;
    /** Port at which the other routers reach the peer port; differs behind a forwarder. */
    readonly advertisedPort: number;
}

interface StartedRouters {
    readonly routers: readonly RunningRouter[];
    readonly forwarders: readonly Forwarder[];
}

async function startRouters(plan: FleetPlan, platformUrl: string): Promise<StartedRouters> {
    const ports = await findFreePorts(plan.routerDomains.length * portsPerRouter);
    const peerPorts = plan.routerDomains.map((_, index) => ports[index * portsPerRouter + 1]!);
    const forwarders = plan.forwardsPeers === true ? await Promise.all(peerPorts.map(startForwarder)) : [];
    const described = plan.routerDomains.map((failureDomain, index): RouterPorts => ({
        name: `router-${index}`,
        failureDomain,
        callerPort: ports[index * portsPerRouter]!,
        peerPort: peerPorts[index]!,
        advertisedPort: forwarders[index]?.port ?? peerPorts[index]!,
    }));
    const seeds = described.map(entry => `${entry.name}@${entry.failureDomain}@127.0.0.1:${entry.advertisedPort}`);
    const routers = await Promise.all(described.map(entry => startRouter(entry, seeds.join(","), platformUrl)));
    return { routers, forwarders };
}

async function startRouter(entry: RouterPorts, seeds: string, platformUrl: string): Promise<RunningRouter> {
    const start = () =>
        startProcess({
            name: entry.name,
            script: resolveScript("daemon", "runDaemon"),
            arguments: [
                `--router-name=${entry.name}`,
                `--failure-domain=${entry.failureDomain}`,
                `--listen=127.0.0.1:${entry.callerPort}`,
                `--peer-listen=127.0.0.1:${entry.peerPort}`,
                `--peer-address=127.0.0.1:${entry.advertisedPort}`,
                `--platform=${platformUrl}`,
                `--seeds=${seeds}`,
                `--log-level=${process.env["BENCH_LOG_LEVEL"] ?? "error"}`,
            ],
            environment: {
                RHUBARBWHEEL_OPERATOR_TOKEN: operatorToken,
                RHUBARBWHEEL_FLEET_SECRET: fleetSecret,
            },
        });
    const router: RunningRouter = {
        name: entry.name,
        failureDomain: entry.failureDomain,
        url: `http://127.0.0.1:${entry.callerPort}`,
        peerAddress: `127.0.0.1:${entry.advertisedPort}`,
        process: await start(),
        restart: async () => {
            router.process = await start();
        },
    };
    return router;
}

async function writeConfiguration(plan: FleetPlan, url: string, targets: readonly RunningTarget[]) {
    for (const name of plan.failureDomains)
        await requireCreated(url, { kind: "failuredomains", name, spec: { state: "in" }, version: 0 });
    for (const workspace of plan.workspaces) {
        const spec = buildWorkspaceSpec(workspace);
        await requireCreated(url, { kind: "workspaces", name: workspace.name, spec, version: 0 });
    }
    for (const service of plan.services) {
        const ports = targets.filter(target => target.service === service.name).map(target => target.process.port);
        const spec = buildServiceSpec(service, ports);
        await requireCreated(url, { kind: "services", name: service.name, spec, version: 0 });
    }
}

interface ResourceToWrite {
    readonly kind: ResourceKind;
    readonly name: string;
    readonly spec: object;
    /** 0 creates the resource. */
    readonly version: number;
}

/** Writes a resource through a router as an operator does. */
export async function putResource(url: string, resource: ResourceToWrite): Promise<WriteAnswer> {
    const condition = resource.version === 0 ? { "if-none-match": "*" } : { "if-match": String(resource.version) };
    const response = await request(`${url}/api/v1/${resource.kind}/${resource.name}`, {
        method: "PUT",
        headers: {
            authorization: `Bearer ${operatorToken}`,
            "content-type": "application/json",
            ...condition,
        },
        body: JSON.stringify({ spec: resource.spec }),
    });
    return { status: response.statusCode, body: await response.body.json() };
}

async function requireCreated(url: string, resource: ResourceToWrite) {
    const answer = await putResource(url, resource);
    if (answer.status >= 300)
        throw new Error(`${resource.kind}/${resource.name} was not created: ${JSON.stringify(answer)}`);
}

/** Waits until the path answers 200. */
export async function waitForStatus(url: string, limitMs = readyLimitMs): Promise<void> {
    const deadline = Date.now() + limitMs;
    let last = "no answer";
    while (Date.now() < deadline) {
        try {
            const response = await request(url);
            last = `${response.statusCode} ${await response.body.text()}`;
            if (response.statusCode === 200) return;
        }
        catch (error) {
            last = String(error);
        }
        await sleep(50);
    }
    throw new Error(`${url} did not become ready: ${last}`);
}

/** Reads JSON from an operator path of a router, or from a control path of a stand-in. */
export async function readJson<T>(url: string): Promise<T> {
    const response = await request(url, { headers: { authorization: `Bearer ${operatorToken}` } });
    return await response.body.json() as T;
}

/** Sends JSON to a control path of a stand-in. */
export async function putControl(url: string, body: object, method: "PUT" | "POST" = "PUT"): Promise<void> {
    const response = await request(url, {
        method,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await response.body.text();
}
