/** Cost of an entry router: per request, per tick with waiting workspaces, per announcement. */
import { createEntryHarness } from "./createEntryHarness.js";
import type { EntrySizes } from "./createEntryHarness.js";
import { measureCpuLine, measureCpuUs } from "./measureCpu.js";
import { measureMemoryLine } from "./measureMemory.js";

/** A tenth of the workspaces is backlogged. */
const backloggedSizes = [2, 64, 580];
const workspaceSizes = [16, 1_000, 5_800];
const targetSizes = [12, 100, 1_000];
const inProgressSizes = [100, 400, 1_600];
const few: EntrySizes = { workspaces: 16, backlogged: 2, targets: 12 };

function measureRequests() {
    const open = { ...few, backlogged: 0 };
    const byTarget = measureCpuLine(targetSizes, targets => createEntryHarness({ ...open, targets }).runRequest);
    const byBacklog = measureCpuLine(
        backloggedSizes,
        backlogged => createEntryHarness({ ...few, workspaces: 10 * backlogged, backlogged }).runRequest,
    );
    return {
        requestCpuUs: measureCpuUs(createEntryHarness(open).runRequest),
        requestCpuUsPerTarget: byTarget.slope,
        requestContendedCpuUs: byBacklog.intercept,
        requestCpuUsPerBacklogged: byBacklog.slope,
    };
}

/** A tick needs an announcement to stay in effect, so their costs are measured together. */
function createTick(sizes: EntrySizes): () => void {
    const { tick, announce } = createEntryHarness(sizes);
    return () => {
        tick();
        announce();
    };
}

function measureTicks() {
    const build = (backlogged: number) => ({ ...few, workspaces: 10 * backlogged, backlogged });
    const ticks = measureCpuLine(backloggedSizes, backlogged => createTick(build(backlogged)));
    const ticksByTarget = measureCpuLine(targetSizes, targets => createTick({ ...few, targets }));
    const announcements = measureCpuLine(
        backloggedSizes,
        backlogged => createEntryHarness(build(backlogged)).announce,
    );
    const announcementsByTarget = measureCpuLine(
        targetSizes,
        targets => createEntryHarness({ ...few, targets }).announce,
    );
    return {
        entryTickAndAnnouncementCpuUs: ticks.intercept,
        entryTickAndAnnouncementCpuUsPerBacklogged: ticks.slope,
        entryTickAndAnnouncementCpuUsPerTarget: ticksByTarget.slope,
        announcementAppliedCpuUs: announcements.intercept,
        announcementAppliedCpuUsPerBacklogged: announcements.slope,
        announcementAppliedCpuUsPerTarget: announcementsByTarget.slope,
    };
}

async function measureState(): Promise<Readonly<Record<string, number>>> {
    const byWorkspace = await measureMemoryLine(
        workspaceSizes,
        workspaces => createEntryHarness({ ...few, workspaces, backlogged: 0 }),
    );
    const byTarget = await measureMemoryLine(
        targetSizes,
        targets => createEntryHarness({ ...few, backlogged: 0, targets }),
    );
    const byRequest = await measureMemoryLine(inProgressSizes, requests => {
        const harness = createEntryHarness({ ...few, backlogged: 0 });
        for (let count = 0; count < requests; count++) harness.startRequest();
        return harness;
    });
    return {
        entryBytesPerRequestInProgress: byRequest.slope,
        entryBytesPerKnownWorkspaceWithResource: byWorkspace.slope,
        entryBytesPerTargetWithResource: byTarget.slope,
    };
}

export async function measureEntry(): Promise<Readonly<Record<string, number>>> {
    return { ...measureRequests(), ...measureTicks(), ...await measureState() };
}
