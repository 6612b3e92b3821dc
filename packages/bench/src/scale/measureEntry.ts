/** Cost of an entry router: per request, per tick with backlogged workspaces, per announcement. */
import { createEntryHarness } from "./createEntryHarness.js";
import type { EntrySizes } from "./createEntryHarness.js";
import { measureCpuLine, measureCpuUs } from "./measureCpu.js";
import { measureMemoryLine } from "./measureMemory.js";

/** One workspace in ten is backlogged. */
const backloggedSizes = [2, 64, 580];
const workspaceSizes = [16, 1_000, 5_800];
const targetSizes = [12, 100, 1_000];
const inProgressSizes = [100, 400, 1_600];
const baseSizes: EntrySizes = { workspaces: 16, backlogged: 2, targets: 12 };

function measureRequests() {
    const uncontendedSizes = { ...baseSizes, backlogged: 0 };
    const byTarget = measureCpuLine(
        targetSizes,
        targets => createEntryHarness({ ...uncontendedSizes, targets }).runRequest,
    );
    const byBacklog = measureCpuLine(
        backloggedSizes,
        backlogged => createEntryHarness({ ...baseSizes, workspaces: 10 * backlogged, backlogged }).runRequest,
    );
    return {
        requestCpuUs: measureCpuUs(createEntryHarness(uncontendedSizes).runRequest),
        requestCpuUsPerTarget: byTarget.slope,
        requestContendedCpuUs: byBacklog.intercept,
        requestCpuUsPerBacklogged: byBacklog.slope,
    };
}

/** Without a new announcement the last one expires after some ticks, so both are measured together. */
function createTickAndAnnouncement(sizes: EntrySizes): () => void {
    const { tick, announce } = createEntryHarness(sizes);
    return () => {
        tick();
        announce();
    };
}

function measureTicks() {
    const createSizes = (backlogged: number) => ({ ...baseSizes, workspaces: 10 * backlogged, backlogged });
    const byBacklog = measureCpuLine(backloggedSizes, backlogged => createTickAndAnnouncement(createSizes(backlogged)));
    const ticksByTarget = measureCpuLine(targetSizes, targets => createTickAndAnnouncement({ ...baseSizes, targets }));
    const announcements = measureCpuLine(
        backloggedSizes,
        backlogged => createEntryHarness(createSizes(backlogged)).announce,
    );
    const announcementsByTarget = measureCpuLine(
        targetSizes,
        targets => createEntryHarness({ ...baseSizes, targets }).announce,
    );
    return {
        entryTickAndAnnouncementCpuUs: byBacklog.intercept,
        entryTickAndAnnouncementCpuUsPerBacklogged: byBacklog.slope,
        entryTickAndAnnouncementCpuUsPerTarget: ticksByTarget.slope,
        announcementAppliedCpuUs: announcements.intercept,
        announcementAppliedCpuUsPerBacklogged: announcements.slope,
        announcementAppliedCpuUsPerTarget: announcementsByTarget.slope,
    };
}

async function measureState(): Promise<Readonly<Record<string, number>>> {
    const byWorkspace = await measureMemoryLine(
        workspaceSizes,
        workspaces => createEntryHarness({ ...baseSizes, workspaces, backlogged: 0 }),
    );
    const byTarget = await measureMemoryLine(
        targetSizes,
        targets => createEntryHarness({ ...baseSizes, backlogged: 0, targets }),
    );
    const byRequest = await measureMemoryLine(inProgressSizes, requests => {
        const harness = createEntryHarness({ ...baseSizes, backlogged: 0 });
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
