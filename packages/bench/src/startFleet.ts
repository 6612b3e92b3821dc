/** Starts a fleet of separate processes on loopback and writes its configuration through the operators' API. */
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { findFreePorts } from "./findFreePorts.js";
import type { FleetPlan, ServicePlan } from "./fleetPlan.js";
import { createServiceSpec, createWorkspaceSpec, fleetSecret, operatorToken } from "./fleetPlan.js";
import type { RunningProcess } from "./startProcess.js";
import { startProcess } from "./startProcess.js";
import { startTcpProxy } from "./startTcpProxy.js";
import type { TcpProxy } from "./startTcpProxy.js";

export interface RunningRouter {
    readonly name: string;
    readonly failureDomain: string;
    readonly url: string;
    /** `ip:port` of the peer interface. */
    readonly peerAddress: string;
    process: RunningProcess;
    /** Restarts the router with empty state on the same ports. */
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
    readonly writeResource: (kind: ResourceKind, name: string, spec: object, version: number) => Promise<WriteResponse>;
    /** Disconnects each router from all others; requires `proxiesPeers` in the plan. */
    readonly partitionRouters: () => void;
    readonly endPartition: () => void;
    readonly stop: () => Promise<void>;
}

export interface WriteResponse {
    readonly status: number;
    readonly body: unknown;
}

const readyTimeoutMs = 20_000;
const portsPerRouter = 2;

export async function startFleet(plan: FleetPlan): Promise<Fleet> {
    const platform = await startProcess({
        name: "platform",
        script: resolveScript("stand-ins", "runPlatform"),
        arguments: [...(plan.platformFlags ?? [])],
    });
    const platformUrl = `http://127.0.0.1:${platform.port}`;
    const targets = (await Promise.all(plan.services.map(startTargets))).flat();
    const { routers, proxies } = await startRouters(plan, platformUrl);
    const stop = async () => {
        await Promise.all(routers.map(router => router.process.stop()));
        await Promise.all([platform, ...targets.map(target => target.process)].map(running => running.stop()));
        await Promise.all(proxies.map(proxy => proxy.close()));
    };
    try {
        await Promise.all(routers.map(router => waitForOk(`${router.url}/livez`)));
        await waitForOk(`${routers[0]!.url}/readyz`);
        await writeConfiguration(plan, routers[0]!.url, targets);
        await Promise.all(routers.map(router => waitForOk(`${router.url}/readyz`)));
    }
    catch (error) {
        await stop();
        throw error;
    }
    const writeResource = (kind: ResourceKind, name: string, spec: object, version: number) =>
        putResource(routers[0]!.url, { kind, name, spec, version });
    const partitionRouters = () => proxies.forEach(proxy => proxy.disconnect());
    const endPartition = () => proxies.forEach(proxy => proxy.reconnect());
    return { platform, platformUrl, routers, targets, writeResource, partitionRouters, endPartition, stop };
}

function resolveScript(packageName: string, file: string): string {
    return fileURLToPath(new URL(`../../../${packageName}/lib/src/${file}.js`, import.meta.url));
}

function startTargets(service: ServicePlan): Promise<readonly RunningTarget[]> {
    const script = resolveScript("stand-ins", service.kind === "model" ? "runModel" : "runPlain");
    return Promise.all(service.failureDomains.map(async (failureDomain, index) => {
        const name = `${service.name}-${index}`;
        const flags = [`--coldLimit=${service.coldLimit}`, ...service.flags];
        const child = await startProcess({ name, script, arguments: flags });
        return {
            name,
            service: service.name,
            failureDomain,
            url: `http://127.0.0.1:${child.port}`,
            process: child,
        };
    }));
}

interface RouterPorts {
    readonly name: string;
    readonly failureDomain: string;
    readonly callerPort: number;
    readonly peerPort: number;
    /** Port at which other routers connect; differs from `peerPort` behind a proxy. */
    readonly advertisedPort: number;
}

interface StartedRouters {
    readonly routers: readonly RunningRouter[];
    readonly proxies: readonly TcpProxy[];
}

async function startRouters(plan: FleetPlan, platformUrl: string): Promise<StartedRouters> {
    const ports = await findFreePorts(plan.routerDomains.length * portsPerRouter);
    const peerPorts = plan.routerDomains.map((_, index) => ports[index * portsPerRouter + 1]!);
    const proxies = plan.proxiesPeers === true ? await Promise.all(peerPorts.map(startTcpProxy)) : [];
    const routerPorts = plan.routerDomains.map((failureDomain, index): RouterPorts => ({
        name: `router-${index}`,
        failureDomain,
        callerPort: ports[index * portsPerRouter]!,
        peerPort: peerPorts[index]!,
        advertisedPort: proxies[index]?.port ?? peerPorts[index]!,
    }));
    const seeds = routerPorts.map(entry => `${entry.name}@${entry.failureDomain}@127.0.0.1:${entry.advertisedPort}`);
    const routers = await Promise.all(routerPorts.map(entry => startRouter(entry, seeds.join(","), platformUrl)));
    return { routers, proxies };
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
        await createResource(url, { kind: "failuredomains", name, spec: { state: "in" }, version: 0 });
    for (const workspace of plan.workspaces) {
        const spec = createWorkspaceSpec(workspace);
        await createResource(url, { kind: "workspaces", name: workspace.name, spec, version: 0 });
    }
    for (const service of plan.services) {
        const ports = targets.filter(target => target.service === service.name).map(target => target.process.port);
        const spec = createServiceSpec(service, ports);
        await createResource(url, { kind: "services", name: service.name, spec, version: 0 });
    }
}

interface ResourceToWrite {
    readonly kind: ResourceKind;
    readonly name: string;
    readonly spec: object;
    /** 0 creates the resource. */
    readonly version: number;
}

/** Writes a resource through a router's operators' API. */
export async function putResource(url: string, resource: ResourceToWrite): Promise<WriteResponse> {
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

async function createResource(url: string, resource: ResourceToWrite) {
    const response = await putResource(url, resource);
    if (response.status >= 300)
        throw new Error(`${resource.kind}/${resource.name} could not be created: ${JSON.stringify(response)}`);
}

/** Waits until the URL returns status 200. */
export async function waitForOk(url: string, timeoutMs = readyTimeoutMs): Promise<void> {
    const deadlineAt = Date.now() + timeoutMs;
    let lastResult = "no response";
    while (Date.now() < deadlineAt) {
        try {
            const response = await request(url);
            lastResult = `${response.statusCode} ${await response.body.text()}`;
            if (response.statusCode === 200) return;
        }
        catch (error) {
            lastResult = String(error);
        }
        await sleep(50);
    }
    throw new Error(`${url} did not return status 200 before the timeout; last result: ${lastResult}`);
}

/** Reads JSON from the operators' API of a router or from a control path of a stand-in. */
export async function readJson<T>(url: string): Promise<T> {
    const response = await request(url, { headers: { authorization: `Bearer ${operatorToken}` } });
    return await response.body.json() as T;
}

/** Sends JSON to a control path of a stand-in. */
export async function sendControl(url: string, body: object, method: "PUT" | "POST" = "PUT"): Promise<void> {
    const response = await request(url, {
        method,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await response.body.text();
}
