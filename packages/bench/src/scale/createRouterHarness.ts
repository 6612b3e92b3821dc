/** One router's reducer with a fleet of fakes around it: members, workspaces and pools of any size. */
import { chooseByRendezvous } from "@rhubarbwheel/membership/chooseByRendezvous";
import { createReducer } from "@rhubarbwheel/reducer/createReducer";
import type { Reducer } from "@rhubarbwheel/reducer/createReducer";
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RouterEvent } from "@rhubarbwheel/types/events";
import type { MemberUpdate, PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { Resource } from "@rhubarbwheel/types/resources";

type WithoutNow<T> = T extends unknown ? Omit<T, "now"> : never;

export interface HarnessSizes {
    /** Routers, this one included. */
    readonly members: number;
    readonly workspaces: number;
    /** Targets of each pool. */
    readonly targets: number;
    readonly pools?: number;
    /** Whether this router coordinates the first pool. */
    readonly coordinates?: boolean;
}

export interface RouterHarness {
    readonly reducer: Reducer;
    readonly identity: MemberUpdate;
    readonly others: readonly MemberUpdate[];
    readonly pools: readonly string[];
    readonly reduce: (event: WithoutNow<RouterEvent>) => readonly Effect[];
    readonly receive: (from: string, message: PeerMessage) => readonly Effect[];
    /** Lets 100 ms pass and reduces a tick, after the store has confirmed the configuration if that is due. */
    readonly tick: () => readonly Effect[];
    readonly getRevision: () => number;
}

export const targetLimit = 8;
export const coldLimit = 4;
const tickMs = 100;
const domainCount = 4;
/** Below the age at which a router becomes stale. */
const confirmEveryTicks = 10;
const randomSeed = 7;

export const nameRouter = (index: number): string => `khomas-router-${String(index).padStart(4, "0")}`;
export const nameWorkspace = (index: number): string => `workspace-${String(index).padStart(4, "0")}`;
export const nameTarget = (pool: string, index: number): string => `${pool}-worker-${String(index).padStart(5, "0")}`;
const nameDomain = (index: number): string => `khomas-${"abcd"[index % domainCount] ?? "a"}`;

export function buildMember(index: number): MemberUpdate {
    return {
        router: nameRouter(index),
        incarnation: 1_700_000_000_000 + index,
        state: "alive",
        address: `10.20.${index >> 8}.${index & 255}:7400`,
        failureDomain: nameDomain(index),
    };
}

export function buildWorkspace(index: number, revision: number): Resource {
    return {
        kind: "workspaces",
        name: nameWorkspace(index),
        version: 1,
        revision,
        spec: { share: 1 + index % 4, credentialHashes: [index.toString(16).padStart(64, "0")] },
    };
}

export function buildService(name: string, targets: number, revision: number): Resource {
    const spec = {
        kind: "model" as const,
        targets: Array.from({ length: targets }, (_, index) => ({
            name: nameTarget(name, index),
            address: `http://10.30.${index >> 8}.${index & 255}:9000`,
            failureDomain: nameDomain(index),
        })),
        targetLimit,
        coldLimit,
        models: [name],
        queueTimeoutMs: 3_600_000,
    };
    return { kind: "services", name, version: 1, revision, spec };
}

const namePool = (index: number): string => `assistant-${index}`;

/** The router that coordinates the first pool, so that no name has to be searched for that a given router coordinates. */
function chooseIdentity(members: readonly MemberUpdate[], sizes: HarnessSizes): MemberUpdate {
    const coordinator = chooseByRendezvous(namePool(0), members.map(member => member.router));
    const chosen = members.find(member => (member.router === coordinator) === (sizes.coordinates ?? false));
    if (chosen === undefined) throw new Error("The fleet needs at least two routers.");
    return chosen;
}

/** The first pool, and further ones that other routers coordinate. */
function choosePools(reducer: Reducer, self: string, sizes: HarnessSizes): readonly string[] {
    const pools = [namePool(0)];
    for (let index = 1; pools.length < (sizes.pools ?? 1); index++)
        if (reducer.membership.findCoordinator(namePool(index)).router !== self) pools.push(namePool(index));
    return pools;
}

export function createRouterHarness(sizes: HarnessSizes): RouterHarness {
    const members = Array.from({ length: sizes.members }, (_, index) => buildMember(index));
    const identity = chooseIdentity(members, sizes);
    const others = members.filter(member => member !== identity);
    const reducer = createReducer({
        identity,
        seeds: members,
        randomSeed,
        mintRandom: () => "0123456789abcdef01234567",
        idempotencyLimits: { maxRecords: 1_000, maxBytes: 1_000_000 },
    });
    let now = 1_000;
    let ticks = 0;
    let revision = 0;
    const digest = { revision: 0, confirmedAgeMs: 100, storeUnreachable: false, storeCheckedAgeMs: 100 };

    const reduce = (event: WithoutNow<RouterEvent>): readonly Effect[] =>
        reducer.reduce({ ...event, now } as RouterEvent);
    /** Every member answers each probe, so that none is suspected. */
    const answerProbes = (effects: readonly Effect[]): readonly Effect[] => {
        for (const effect of effects) {
            if (effect.type !== "sendToPeer" || effect.message.type !== "probe") continue;
            const { sequence } = effect.message;
            const answer = { type: "probeAck" as const, sequence, router: effect.router, updates: [], digest };
            receive(effect.router, answer);
        }
        return effects;
    };
    const receive = (from: string, message: PeerMessage) => reduce({ type: "peerMessage", from, message });
    const confirm = () =>
        reduce({ type: "configurationChanged", fromRevision: revision, revision, resources: [], requestSentAt: now });

    reduce({ type: "tick" });
    receive(others[0]!.router, { type: "probe", sequence: 1, updates: others, digest });
    const pools = choosePools(reducer, identity.router, sizes);
    const resources: Resource[] = Array.from({ length: domainCount }, (_, index) => ({
        kind: "failuredomains" as const,
        name: nameDomain(index),
        version: 1,
        revision: ++revision,
        spec: { state: "in" as const },
    }));
    for (const pool of pools) resources.push(buildService(pool, sizes.targets, ++revision));
    for (let index = 0; index < sizes.workspaces; index++) resources.push(buildWorkspace(index, ++revision));
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
            if (ticks % confirmEveryTicks === 0) confirm();
            return answerProbes(reduce({ type: "tick" }));
        },
        getRevision: () => reducer.configuration.getRevision(),
    };
}
