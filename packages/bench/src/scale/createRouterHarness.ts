/** Reducer of one router in a simulated fleet with any number of members, workspaces, pools and targets. */
import { chooseByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import { createReducer } from "@rhubarbwheel/reducer/createReducer";
import type { Reducer } from "@rhubarbwheel/reducer/createReducer";
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { MemberUpdate, PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { Resource } from "@rhubarbwheel/types/resources";

type WithoutNow<T> = T extends unknown ? Omit<T, "now"> : never;

export interface HarnessSizes {
    /** Number of routers, including this one. */
    readonly members: number;
    readonly workspaces: number;
    /** Number of targets per pool. */
    readonly targets: number;
    readonly pools?: number;
    /** Whether this router is the coordinator of the first pool. */
    readonly isCoordinator?: boolean;
}

export interface RouterHarness {
    readonly reducer: Reducer;
    readonly identity: MemberUpdate;
    readonly others: readonly MemberUpdate[];
    readonly pools: readonly string[];
    readonly reduce: (event: WithoutNow<RouterEvent>) => readonly Effect[];
    readonly receive: (from: string, message: PeerMessage) => readonly Effect[];
    /** Advances the clock by 100 ms, confirms the configuration if that is due, and reduces a tick. */
    readonly tick: () => readonly Effect[];
    readonly getRevision: () => number;
}

export const targetLimit = 8;
export const coldLimit = 4;
const tickMs = 100;
const domainCount = 4;
/** Short enough that the configuration does not become stale. */
const confirmIntervalTicks = 10;
const randomSeed = 7;

export const getRouterName = (index: number): string => `khomas-router-${String(index).padStart(4, "0")}`;
export const getWorkspaceName = (index: number): string => `workspace-${String(index).padStart(4, "0")}`;
export const getTargetName = (pool: string, index: number): string =>
    `${pool}-worker-${String(index).padStart(5, "0")}`;
const getDomainName = (index: number): string => `khomas-${"abcd"[index % domainCount] ?? "a"}`;

export function createMember(index: number): MemberUpdate {
    return {
        router: getRouterName(index),
        incarnation: 1_700_000_000_000 + index,
        state: "alive",
        address: `10.20.${index >> 8}.${index & 255}:7400`,
        failureDomain: getDomainName(index),
    };
}

export function createWorkspace(index: number, revision: number): Resource {
    return {
        kind: "workspaces",
        name: getWorkspaceName(index),
        version: 1,
        revision,
        spec: { share: 1 + index % 4, credentialHashes: [index.toString(16).padStart(64, "0")] },
    };
}

export function createService(name: string, targets: number, revision: number): Resource {
    const spec = {
        kind: "model" as const,
        targets: Array.from({ length: targets }, (_, index) => ({
            name: getTargetName(name, index),
            address: `http://10.30.${index >> 8}.${index & 255}:9000`,
            failureDomain: getDomainName(index),
        })),
        targetLimit,
        coldLimit,
        models: [name],
        queueTimeoutMs: 3_600_000,
    };
    return { kind: "services", name, version: 1, revision, spec };
}

const getPoolName = (index: number): string => `assistant-${index}`;

/** Chooses the router by its role in the first pool, so that no pool name with a given coordinator has to be found. */
function chooseIdentity(members: readonly MemberUpdate[], sizes: HarnessSizes): MemberUpdate {
    const coordinator = chooseByRendezvous(getPoolName(0), members.map(member => member.router));
    const chosen = members.find(member => (member.router === coordinator) === (sizes.isCoordinator ?? false));
    if (chosen === undefined) throw new Error("the fleet needs at least two routers");
    return chosen;
}

/** Lists the first pool and further ones that have another coordinator. */
function choosePools(reducer: Reducer, self: string, sizes: HarnessSizes): readonly string[] {
    const pools = [getPoolName(0)];
    for (let index = 1; pools.length < (sizes.pools ?? 1); index++)
        if (reducer.membership.findCoordinator(getPoolName(index)).router !== self) pools.push(getPoolName(index));
    return pools;
}

export function createRouterHarness(sizes: HarnessSizes): RouterHarness {
    const members = Array.from({ length: sizes.members }, (_, index) => createMember(index));
    const identity = chooseIdentity(members, sizes);
    const others = members.filter(member => member !== identity);
    const reducer = createReducer({
        identity,
        seeds: members,
        randomSeed,
        generateKeySecret: () => "0123456789abcdef01234567",
        idempotencyLimits: { maxRecords: 1_000, maxBytes: 1_000_000 },
    });
    let now = 1_000;
    let ticks = 0;
    let revision = 0;
    const digest = { revision: 0, confirmedAgeMs: 100, storeUnreachable: false, storeCheckedAgeMs: 100 };

    const reduce = (event: WithoutNow<RouterEvent>): readonly Effect[] =>
        reducer.reduce({ ...event, now } as RouterEvent);
    /** Acknowledges each probe, so that no member becomes suspect. */
    const acknowledgeProbes = (effects: readonly Effect[]): readonly Effect[] => {
        for (const effect of effects) {
            if (effect.type !== "sendToPeer" || effect.message.type !== "probe") continue;
            const { sequence } = effect.message;
            const ack = { type: "probeAck" as const, sequence, router: effect.router, updates: [], digest };
            receive(effect.router, ack);
        }
        return effects;
    };
    const receive = (from: string, message: PeerMessage) => reduce({ type: "peerMessage", from, message });
    const confirmConfiguration = () =>
        reduce({ type: "configurationChanged", fromRevision: revision, revision, resources: [], requestSentAt: now });

    reduce({ type: "tick" });
    receive(others[0]!.router, { type: "probe", sequence: 1, updates: others, digest });
    const pools = choosePools(reducer, identity.router, sizes);
    const resources: Resource[] = Array.from({ length: domainCount }, (_, index) => ({
        kind: "failuredomains" as const,
        name: getDomainName(index),
        version: 1,
        revision: ++revision,
        spec: { state: "in" as const },
    }));
    for (const pool of pools) resources.push(createService(pool, sizes.targets, ++revision));
    for (let index = 0; index < sizes.workspaces; index++) resources.push(createWorkspace(index, ++revision));
    reduce({ type: "configurationRead", revision, resources, requestSentAt: now });

    return {
        reducer,
        identity,
        others,
        pools,
        reduce,
        receive,
        tick: () => {
            now += tickMs;
            ticks += 1;
            if (ticks % confirmIntervalTicks === 0) confirmConfiguration();
            return acknowledgeProbes(reduce({ type: "tick" }));
        },
        getRevision: () => reducer.configuration.getRevision(),
    };
}
