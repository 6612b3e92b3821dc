/** Cost of a pool's coordinator: per report, load report and tick, by number of workspaces, targets and routers. */
import { createCoordinatorHarness } from "./createCoordinatorHarness.js";
import type { CoordinatorHarness, CoordinatorSizes } from "./createCoordinatorHarness.js";
import { fitLine } from "./fitLine.js";
import { measureCpuLine, measureCpuUs, readCpuUs } from "./measureCpu.js";
import { measureMemoryLine } from "./measureMemory.js";

const baseSizes: CoordinatorSizes = { backlogged: 2, targets: 12, routers: 15 };
const backloggedSizes = [2, 64, 580];
const targetSizes = [12, 50, 150];
const routerSizes = [15, 150, 2_399];
const memoryRouterSizes = [15, 60, 150];
const onePoolTargets = 10_000;
const onePoolRepeats = 2;

/** Measures without warm-up, because a single event takes far longer than the JIT compiler needs. */
function measureOnePool(): Readonly<Record<string, number>> {
    const harness = createCoordinatorHarness({
        ...baseSizes,
        targets: onePoolTargets,
        // The reports of one router suffice to measure the cost of a report.
        reportingRouters: 1,
        reportsTargetLoad: false,
    });
    const measureMs = (run: () => void) => {
        const startedAt = readCpuUs();
        for (let count = 0; count < onePoolRepeats; count++) run();
        return (readCpuUs() - startedAt) / 1000 / onePoolRepeats;
    };
    return {
        onePoolOf10000TargetsReportCpuMs: measureMs(harness.report),
        onePoolOf10000TargetsLoadReportCpuMs: measureMs(harness.reportLoad),
        onePoolOf10000TargetsTickCpuMs: measureMs(harness.tick),
    };
}

function measureBySize(sizes: readonly number[], createSizes: (size: number) => CoordinatorSizes) {
    const measured = sizes.map((size, index) => {
        const isFirst = index === 0;
        const harness = createCoordinatorHarness(createSizes(size));
        return {
            size,
            report: measureCpuUs(harness.report, isFirst),
            loadReport: measureCpuUs(harness.reportLoad, isFirst),
            // Measured last, because a tick advances the clock without new load reports of the targets.
            tick: measureCpuUs(harness.tick, isFirst),
        };
    });
    const fitLineFor = (key: "report" | "loadReport" | "tick") =>
        fitLine(measured.map(entry => ({ size: entry.size, value: entry[key] })));
    return { report: fitLineFor("report"), loadReport: fitLineFor("loadReport"), tick: fitLineFor("tick"), measured };
}

function measureEvents(): Readonly<Record<string, number>> {
    const byWorkspace = measureBySize(backloggedSizes, backlogged => ({ ...baseSizes, backlogged }));
    const byTarget = measureBySize(targetSizes, targets => ({ ...baseSizes, targets }));
    const byRouter = measureBySize(routerSizes, routers => ({ ...baseSizes, backlogged: 16, routers }));
    const byOtherWorkspace = measureCpuLine(
        backloggedSizes,
        backlogged => createCoordinatorHarness({ ...baseSizes, backlogged, reportedWorkspaces: 1 }).report,
    );
    const measureGrantUs = (harness: CoordinatorHarness) => measureCpuUs(harness.returnSlot);
    return {
        reportCpuUs: byWorkspace.report.intercept,
        reportCpuUsPerWorkspace: byWorkspace.report.slope,
        reportCpuUsPerOtherWorkspace: byOtherWorkspace.slope,
        reportCpuUsPerTarget: byTarget.report.slope,
        reportCpuUsAt150Targets: byTarget.measured.at(-1)!.report,
        reportCpuUsPerRouter: byRouter.report.slope,
        loadReportCpuUs: byWorkspace.loadReport.intercept,
        loadReportCpuUsPerWorkspace: byWorkspace.loadReport.slope,
        loadReportCpuUsPerTarget: byTarget.loadReport.slope,
        coordinatorTickCpuUs: byRouter.tick.intercept,
        coordinatorTickCpuUsPerRouter: byRouter.tick.slope,
        coordinatorTickCpuUsPerWorkspaceAt15Routers: byWorkspace.tick.slope,
        coordinatorTickCpuUsPerTargetAt15Routers: byTarget.tick.slope,
        returnAndGrantCpuUs: measureGrantUs(createCoordinatorHarness(baseSizes)),
    };
}

async function measureState(): Promise<Readonly<Record<string, number>>> {
    const byRouter = await measureMemoryLine(
        memoryRouterSizes,
        routers => createCoordinatorHarness({ ...baseSizes, backlogged: 16, routers }),
    );
    const byTarget = await measureMemoryLine(
        targetSizes,
        targets => createCoordinatorHarness({ ...baseSizes, targets }),
    );
    const byWorkspace = await measureMemoryLine(
        backloggedSizes,
        backlogged => createCoordinatorHarness({ ...baseSizes, backlogged }),
    );
    return {
        coordinatorBytesPerRouterAt16WorkspacesAnd12Targets: byRouter.slope,
        coordinatorBytesPerTargetAt15Routers: byTarget.slope,
        coordinatorBytesPerWorkspaceAt15Routers: byWorkspace.slope,
    };
}

export async function measureCoordinator(): Promise<Readonly<Record<string, number>>> {
    return { ...measureEvents(), ...measureOnePool(), ...await measureState() };
}
