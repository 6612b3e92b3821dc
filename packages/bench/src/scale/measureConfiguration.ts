/** Cost of the configuration: per change applied and gossiped, per request served, and memory per resource. */
import { createRouterHarness, createService, createWorkspace } from "./createRouterHarness.js";
import type { RouterHarness } from "./createRouterHarness.js";
import { measureCpuLine } from "./measureCpu.js";
import { measureMemoryLine } from "./measureMemory.js";

const workspaceSizes = [16, 1_000, 5_800];
const targetSizes = [12, 100, 1_000];
const baseSizes = { members: 15, workspaces: 16, targets: 12 };
const ticksPerSecond = 10;

function createWorkspaceChange(router: RouterHarness): () => void {
    let version = 1;
    return () => {
        version += 1;
        const fromRevision = router.getRevision();
        const resource = { ...createWorkspace(0, fromRevision + 1), version };
        const event = { fromRevision, revision: fromRevision + 1, resources: [resource], requestSentAt: 0 };
        router.reduce({ type: "configurationChanged", ...event });
    };
}

function createServiceChange(router: RouterHarness, targets: number): () => void {
    let version = 1;
    return () => {
        version += 1;
        const fromRevision = router.getRevision();
        const resource = { ...createService(router.pools[0]!, targets, fromRevision + 1), version };
        const event = { fromRevision, revision: fromRevision + 1, resources: [resource], requestSentAt: 0 };
        router.reduce({ type: "configurationChanged", ...event });
    };
}

/** A peer that lacks the last change requests it. */
function createConfigurationRequest(router: RouterHarness): () => void {
    const revision = router.getRevision() - 1;
    return () => router.receive(router.others[0]!.router, { type: "configurationRequest", revision });
}

function createIdleSecond(router: RouterHarness): () => void {
    return () => {
        for (let tick = 0; tick < ticksPerSecond; tick++) router.tick();
    };
}

export async function measureConfiguration(): Promise<Readonly<Record<string, number>>> {
    const create = (workspaces: number) => createRouterHarness({ ...baseSizes, workspaces });
    const changes = measureCpuLine(workspaceSizes, workspaces => createWorkspaceChange(create(workspaces)));
    const requests = measureCpuLine(workspaceSizes, workspaces => createConfigurationRequest(create(workspaces)));
    const idle = measureCpuLine(workspaceSizes, workspaces => createIdleSecond(create(workspaces)));
    const services = measureCpuLine(
        targetSizes,
        targets => createServiceChange(createRouterHarness({ ...baseSizes, targets }), targets),
    );
    const memory = await measureMemoryLine(workspaceSizes, create);
    return {
        changeCpuUs: changes.intercept,
        changeCpuUsPerWorkspace: changes.slope,
        serviceChangeCpuUsPerTarget: services.slope,
        requestAnsweredCpuUs: requests.intercept,
        requestAnsweredCpuUsPerWorkspace: requests.slope,
        idleSecondCpuUs: idle.intercept,
        idleSecondCpuUsPerWorkspace: idle.slope,
        workspaceResourceBytes: memory.slope,
    };
}
