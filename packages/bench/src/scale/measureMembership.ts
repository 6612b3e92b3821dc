/** Cost of a member: per probe round, per probe received, per change of membership, and memory per member. */
import type { HostEntry } from "@rhubarbwheel/types/resources";
import { computeLine } from "./computeLine.js";
import { createRouterHarness } from "./createRouterHarness.js";
import type { RouterHarness } from "./createRouterHarness.js";
import { measureCpuLine } from "./measureCpu.js";
import { measureMemoryLine } from "./measureMemory.js";

const memberSizes = [15, 300, 2_400];
const few = { workspaces: 16, targets: 12 };
const manyPools = 10;
const ticksPerRound = 5;
const digest = { revision: 0, confirmedAgeMs: 100, storeUnreachable: false, storeCheckedAgeMs: 100 };

/** A change of another member's state alternates between suspicion and its refutation. */
function createChange(router: RouterHarness): () => void {
    let update = router.others[1]!;
    let sequence = 0;
    return () => {
        update = update.state === "alive"
            ? { ...update, state: "suspect" }
            : { ...update, state: "alive", incarnation: update.incarnation + 1 };
        router.receive(router.others[0]!.router, { type: "probe", sequence: ++sequence, updates: [update], digest });
    };
}

function createProbe(router: RouterHarness): () => void {
    let sequence = 0;
    return () => router.receive(router.others[0]!.router, { type: "probe", sequence: ++sequence, updates: [], digest });
}

function createRound(router: RouterHarness): () => void {
    return () => {
        for (let tick = 0; tick < ticksPerRound; tick++) router.tick();
    };
}

/** The host list as the platform answers it, which a watcher parses and reduces each second. */
function buildHostList(router: RouterHarness): string {
    const hosts = router.others.map(({ router: name, address, failureDomain }) => ({
        name,
        role: "router",
        address,
        failureDomain,
        state: "live",
    }));
    return JSON.stringify(hosts);
}

function createHostListRead(router: RouterHarness): () => void {
    const text = buildHostList(router);
    return () => router.reduce({ type: "hostsListed", hosts: JSON.parse(text) as readonly HostEntry[] });
}

export async function measureMembership(): Promise<Readonly<Record<string, number>>> {
    const create = (members: number, pools = 1) => createRouterHarness({ ...few, members, pools });
    const rounds = measureCpuLine(memberSizes, members => createRound(create(members)));
    const probes = measureCpuLine(memberSizes, members => createProbe(create(members)));
    const changes = measureCpuLine(memberSizes, members => createChange(create(members)));
    const changesOfMany = measureCpuLine(memberSizes, members => createChange(create(members, manyPools)));
    const memory = await measureMemoryLine(memberSizes, members => create(members));
    const hostLists = measureCpuLine(memberSizes, members => createHostListRead(create(members)));
    const hostBytes = memberSizes.map(size => ({ size, value: buildHostList(create(size)).length }));
    return {
        hostListCpuUsPerHost: hostLists.slope,
        hostListBytesPerHost: computeLine(hostBytes).slope,
        probeRoundCpuUs: rounds.intercept,
        probeRoundCpuUsPerMember: rounds.slope,
        probeReceivedCpuUs: probes.intercept,
        probeReceivedCpuUsPerMember: probes.slope,
        membershipChangeCpuUs: changes.intercept,
        membershipChangeCpuUsPerMember: changes.slope,
        membershipChangeCpuUsPerMemberAndPool: (changesOfMany.slope - changes.slope) / (manyPools - 1),
        memberBytes: memory.slope,
    };
}
