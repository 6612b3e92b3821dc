/** Benchmark `config`: operators race at several routers while the platform loses answers. */
import { createRandom } from "@rhubarbwheel/reducer/createRandom";
import type { WorkspaceSpec } from "@rhubarbwheel/types/resources";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetPlan } from "./fleetPlan.js";
import { buildWorkspaceSpec, chooseDomains } from "./fleetPlan.js";
import { computeQuantile } from "./sampleTargets.js";
import { putControl, putResource, readJson, startFleet } from "./startFleet.js";
import type { Fleet } from "./startFleet.js";

const domains = ["khomas-a", "khomas-b", "khomas-c", "khomas-d"] as const;
const routerCount = 15;
const workspaceCount = 6;
const operatorCount = 8;
const raceMs = 25_000;
const pollMs = 25;
const lossOfAnswers = 0.3;
const seed = 11;

const plan: FleetPlan = {
    failureDomains: domains,
    routerDomains: chooseDomains(domains, routerCount),
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

interface RaceResult {
    readonly accepted: AcceptedWrite[];
    conflicts: number;
    unknown: number;
    notRun: number;
}

/** Reads a workspace, then writes it with a share that no other write uses, each through any router. */
async function runOperator(fleet: Fleet, operator: number, untilMs: number, race: RaceResult) {
    const random = createRandom(seed + operator);
    const chooseRouter = () => fleet.routers[Math.floor(random() * routerCount)]!.url;
    for (let write = 1; Date.now() < untilMs; write++) {
        await sleep(random() * 400);
        const name = `plant-${Math.floor(random() * workspaceCount)}`;
        const current = await readJson<StoredWorkspace>(`${chooseRouter()}/api/v1/workspaces/${name}`);
        const share = operator + 1 + write / 10_000;
        const spec = buildWorkspaceSpec({ name, share });
        const answer = await putResource(chooseRouter(), { kind: "workspaces", name, spec, version: current.version });
        const acceptedAt = Date.now();
        const stored = answer.body as StoredWorkspace;
        if (answer.status < 300) {
            const { version, revision } = stored;
            race.accepted.push({ name, version, revision, share, acceptedAt });
        }
        else if (answer.status === 409) race.conflicts += 1;
        else if (answer.status === 504) race.unknown += 1;
        else race.notRun += 1;
    }
}

/** Revisions that a router has reported, in order of time. */
type RevisionHistory = { readonly atMs: number; readonly revision: number; }[];

async function pollRevisions(url: string, history: RevisionHistory, isRunning: () => boolean) {
    while (isRunning()) {
        const { revision } = await readJson<{ revision: number; }>(`${url}/api/v1/status`);
        history.push({ atMs: Date.now(), revision });
        await sleep(pollMs);
    }
}

function findInForceMs(write: AcceptedWrite, histories: readonly RevisionHistory[]): number {
    const times = histories.map(history => history.find(entry => entry.revision >= write.revision)?.atMs ?? Infinity);
    return Math.max(0, Math.max(...times) - write.acceptedAt);
}

function countReversions(histories: readonly RevisionHistory[]): number {
    const isReversion = (history: RevisionHistory) =>
        history.filter((entry, index) => index > 0 && entry.revision < history[index - 1]!.revision).length;
    return histories.reduce((sum, history) => sum + isReversion(history), 0);
}

/** An accepted write is lost if another accepted write has its version, or if the store holds an older version. */
async function countLost(fleet: Fleet, accepted: readonly AcceptedWrite[]): Promise<number> {
    const listing = await readJson<{ items: readonly { name: string; version: number; value: WorkspaceSpec; }[]; }>(
        `${fleet.platformUrl}/objects/workspaces`,
    );
    const stored = new Map(listing.items.map(item => [item.name, item]));
    const shares = new Map<string, number>();
    let lost = 0;
    for (const write of accepted) {
        const identity = `${write.name}@${write.version}`;
        const other = shares.get(identity);
        shares.set(identity, write.share);
        const current = stored.get(write.name);
        const isReplaced = current?.version === write.version && current.value.share !== write.share;
        if (other !== undefined || isReplaced || (current?.version ?? 0) < write.version) lost += 1;
    }
    return lost;
}

export async function runConfig(): Promise<object> {
    const fleet = await startFleet(plan);
    try {
        const histories = fleet.routers.map((): RevisionHistory => []);
        let running = true;
        const polls = fleet.routers.map((router, index) => pollRevisions(router.url, histories[index]!, () => running));
        await putControl(`${fleet.platformUrl}/control/faults`, { loseAnswers: lossOfAnswers });
        const race: RaceResult = { accepted: [], conflicts: 0, unknown: 0, notRun: 0 };
        const untilMs = Date.now() + raceMs;
        const operators = Array.from({ length: operatorCount }, (_, index) => runOperator(fleet, index, untilMs, race));
        await Promise.all(operators);
        await putControl(`${fleet.platformUrl}/control/faults`, { loseAnswers: 0 });
        await sleep(3_000);
        running = false;
        await Promise.all(polls);
        const inForce = race.accepted.map(write => findInForceMs(write, histories));
        return {
            accepted: race.accepted.length,
            conflicts: race.conflicts,
            unknown: race.unknown,
            notRun: race.notRun,
            acceptedLost: await countLost(fleet, race.accepted),
            reverted: countReversions(histories),
            inForceMs: {
                p50: computeQuantile(inForce, 0.5),
                p99: computeQuantile(inForce, 0.99),
                max: Math.max(0, ...inForce),
            },
        };
    }
    finally {
        await fleet.stop();
    }
}
