/** Cost of the coordinator of a pool: per report, load report and tick, by workspaces, targets and routers. */
import { computeLine } from "./computeLine.js";
import { createCoordinatorHarness } from "./createCoordinatorHarness.js";
import type { CoordinatorHarness, CoordinatorSizes } from "./createCoordinatorHarness.js";
import { measureCpuLine, measureCpuUs, readCpuUs } from "./measureCpu.js";
import { measureMemoryLine } from "./measureMemory.js";

const today: CoordinatorSizes = { backlogged: 2, targets: 12, routers: 15 };
const backloggedSizes = [2, 64, 580];
const targetSizes = [12, 50, 150];
const routerSizes = [15, 150, 2_399];
const memoryRouterSizes = [15, 60, 150];
const onePoolTargets = 10_000;
/** The first router's reports are enough to show the cost of one. */
const onePoolReports = 2;

/** Without warm-up: the single events take far longer than the compiler needs. */
function measureOnePool(): Readonly<Record<string, number>> {
    const harness = createCoordinatorHarness({ ...today, targets: onePoolTargets, reporting: 1, reportsLoad: false });
    const measureMs = (run: () => void) => {
        const startedAt = readCpuUs();
        for (let count = 0; count < onePoolReports; count++) run();
        return (readCpuUs() - startedAt) / 1000 / onePoolReports;
    };
    return {
        onePoolOf10000TargetsReportCpuMs: measureMs(harness.report),
        onePoolOf10000TargetsLoadReportCpuMs: measureMs(harness.reportLoad),
        onePoolOf10000TargetsTickCpuMs: measureMs(harness.tick),
    };
}

function measureBy(sizes: readonly number[], build: (size: number) => CoordinatorSizes) {
    const measured = sizes.map((size, index) => {
        const isFirst = index === 0;
        const harness = createCoordinatorHarness(build(size));
        return {
            size,
            report: measureCpuUs(harness.report, isFirst),
            loadReport: measureCpuUs(harness.reportLoad, isFirst),
            // The ticks come last, because the load reports of the targets do not follow them.
            tick: measureCpuUs(harness.tick, isFirst),
        };
    });
    const line = (key: "report" | "loadReport" | "tick") =>
        computeLine(measured.map(entry => ({ size: entry.size, value: entry[key] })));
    return { report: line("report"), loadReport: line("loadReport"), tick: line("tick"), measured };
}

function measureEvents(): Readonly<Record<string, number>> {
    const byWorkspace = measureBy(backloggedSizes, backlogged => ({ ...today, backlogged }));
    const byTarget = measureBy(targetSizes, targets => ({ ...today, targets }));
    const byRouter = measureBy(routerSizes, routers => ({ ...today, backlogged: 16, routers }));
    const others = measureCpuLine(
        backloggedSizes,
        backlogged => createCoordinatorHarness({ ...today, backlogged, reported: 1 }).report,
    );
    const grants = (harness: CoordinatorHarness) => measureCpuUs(harness.returnSlot);
    return {
        reportCpuUs: byWorkspace.report.intercept,
        reportCpuUsPerWorkspace: byWorkspace.report.slope,
        reportCpuUsPerOtherWorkspace: others.slope,
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
        returnAndGrantCpuUs: grants(createCoordinatorHarness(today)),
    };
}

async function measureState(): Promise<Readonly<Record<string, number>>> {
    const byRouter = await measureMemoryLine(
        memoryRouterSizes,
        routers => createCoordinatorHarness({ ...today, backlogged: 16, routers }),
    );
    const byTarget = await measureMemoryLine(targetSizes, targets => createCoordinatorHarness({ ...today, targets }));
    const byWorkspace = await measureMemoryLine(
        backloggedSizes,
        backlogged => createCoordinatorHarness({ ...today, backlogged }),
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
