/** Benchmark `config`: concurrent writes of operators through several routers while the store loses responses. */
import { createRandom } from "@rhubarbwheel/reducer/createRandom";
import type { WorkspaceSpec } from "@rhubarbwheel/types/resources";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetPlan } from "./fleetPlan.js";
import { assignDomains, createWorkspaceSpec } from "./fleetPlan.js";
import { computeQuantile } from "./sampleTargets.js";
import { putResource, readJson, sendControl, startFleet } from "./startFleet.js";
import type { Fleet } from "./startFleet.js";

const domains = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"] as const;
const routerCount = 15;
const workspaceCount = 6;
const operatorCount = 8;
const loadMs = 25_000;
const pollIntervalMs = 25;
const responseLossRatio = 0.3;
const seed = 11;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: assignDomains(domains, routerCount),
    services: [],
    workspaces: Array.from({ length: workspaceCount }, (_, index) => ({ name: `plant-${index}`, share: 1 })),
};

interface StoredWorkspace {
    readonly version: number;
    readonly revision: number;
    readonly spec: WorkspaceSpec;
}

interface AcceptedWrite {
    readonly name: string;
    readonly version: number;
    readonly revision: number;
    readonly share: number;
    readonly acceptedAt: number;
}

interface WriteResults {
    readonly accepted: AcceptedWrite[];
    conflicts: number;
    unknown: number;
    notRun: number;
}

/** Repeatedly reads a workspace and writes it with a unique share, each through a random router. */
async function runOperator(fleet: Fleet, operator: number, endAt: number, results: WriteResults) {
    const random = createRandom(seed + operator);
    const chooseRouter = () => fleet.routers[Math.floor(random() * routerCount)]!.url;
    for (let write = 1; Date.now() < endAt; write++) {
        await sleep(random() * 400);
        const name = `plant-${Math.floor(random() * workspaceCount)}`;
        const current = await readJson<StoredWorkspace>(`${chooseRouter()}/api/v1/workspaces/${name}`);
        const share = operator + 1 + write / 10_000;
        const spec = createWorkspaceSpec({ name, share });
        const response = await putResource(chooseRouter(), {
            kind: "workspaces",
            name,
            spec,
            version: current.version,
        });
        const acceptedAt = Date.now();
        const stored = response.body as StoredWorkspace;
        if (response.status < 300) {
            const { version, revision } = stored;
            results.accepted.push({ name, version, revision, share, acceptedAt });
        }
        else if (response.status === 409) results.conflicts += 1;
        else if (response.status === 504) results.unknown += 1;
        else results.notRun += 1;
    }
}

/** Revisions reported by a router, in chronological order. */
type RevisionHistory = { readonly atMs: number; readonly revision: number; }[];

async function pollRevisions(url: string, history: RevisionHistory, isRunning: () => boolean) {
    while (isRunning()) {
        const { revision } = await readJson<{ revision: number; }>(`${url}/api/v1/status`);
        history.push({ atMs: Date.now(), revision });
        await sleep(pollIntervalMs);
    }
}

function computePropagationMs(write: AcceptedWrite, histories: readonly RevisionHistory[]): number {
    const times = histories.map(history => history.find(entry => entry.revision >= write.revision)?.atMs ?? Infinity);
    return Math.max(0, Math.max(...times) - write.acceptedAt);
}

function countReversions(histories: readonly RevisionHistory[]): number {
    const countDecreases = (history: RevisionHistory) =>
        history.filter((entry, index) => index > 0 && entry.revision < history[index - 1]!.revision).length;
    return histories.reduce((sum, history) => sum + countDecreases(history), 0);
}

/** An accepted write is lost if another accepted write has the same version or if the store has an older version. */
async function countLost(fleet: Fleet, accepted: readonly AcceptedWrite[]): Promise<number> {
    const listing = await readJson<{ items: readonly { name: string; version: number; value: WorkspaceSpec; }[]; }>(
        `${fleet.platformUrl}/objects/workspaces`,
    );
    const stored = new Map(listing.items.map(item => [item.name, item]));
    const shareByVersion = new Map<string, number>();
    let lost = 0;
    for (const write of accepted) {
        const versionKey = `${write.name}@${write.version}`;
        const knownShare = shareByVersion.get(versionKey);
        shareByVersion.set(versionKey, write.share);
        const current = stored.get(write.name);
        const isOverwritten = current?.version === write.version && current.value.share !== write.share;
        if (knownShare !== undefined || isOverwritten || (current?.version ?? 0) < write.version) lost += 1;
    }
    return lost;
}

export async function runConfig(): Promise<object> {
    const fleet = await startFleet(plan);
    try {
        const histories = fleet.routers.map((): RevisionHistory => []);
        let running = true;
        const polls = fleet.routers.map((router, index) => pollRevisions(router.url, histories[index]!, () => running));
        await sendControl(`${fleet.platformUrl}/control/faults`, { loseAnswers: responseLossRatio });
        const results: WriteResults = { accepted: [], conflicts: 0, unknown: 0, notRun: 0 };
        const endAt = Date.now() + loadMs;
        const operators = Array.from(
            { length: operatorCount },
            (_, index) => runOperator(fleet, index, endAt, results),
        );
        await Promise.all(operators);
        await sendControl(`${fleet.platformUrl}/control/faults`, { loseAnswers: 0 });
        await sleep(3_000);
        running = false;
        await Promise.all(polls);
        const propagationMs = results.accepted.map(write => computePropagationMs(write, histories));
        return {
            accepted: results.accepted.length,
            conflicts: results.conflicts,
            unknown: results.unknown,
            notRun: results.notRun,
            acceptedLost: await countLost(fleet, results.accepted),
            reverted: countReversions(histories),
            inForceMs: {
                p50: computeQuantile(propagationMs, 0.5),
                p99: computeQuantile(propagationMs, 0.99),
                max: Math.max(0, ...propagationMs),
            },
        };
    }
    finally {
        await fleet.stop();
    }
}
