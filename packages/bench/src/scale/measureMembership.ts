/** Cost of membership: per probe round, per probe received, per membership change, and memory per member. */
import type { HostEntry } from "@rhubarbwheel/types/resources";
import { createRouterHarness } from "./createRouterHarness.js";
import type { RouterHarness } from "./createRouterHarness.js";
import { fitLine } from "./fitLine.js";
import { measureCpuLine } from "./measureCpu.js";
import { measureMemoryLine } from "./measureMemory.js";

const memberSizes = [15, 300, 2_400];
const baseSizes = { workspaces: 16, targets: 12 };
const manyPoolCount = 10;
const ticksPerRound = 5;
const digest = { revision: 0, confirmedAgeMs: 100, storeUnreachable: false, storeCheckedAgeMs: 100 };

/** Alternately reports another member as suspect and refutes the suspicion. */
function createMembershipChange(router: RouterHarness): () => void {
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

function createProbeRound(router: RouterHarness): () => void {
    return () => {
        for (let tick = 0; tick < ticksPerRound; tick++) router.tick();
    };
}

/** Response body of the platform's host list, which a router parses and reduces each second. */
function createHostList(router: RouterHarness): string {
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
    const text = createHostList(router);
    return () => router.reduce({ type: "hostsListed", hosts: JSON.parse(text) as readonly HostEntry[] });
}

export async function measureMembership(): Promise<Readonly<Record<string, number>>> {
    const create = (members: number, pools = 1) => createRouterHarness({ ...baseSizes, members, pools });
    const rounds = measureCpuLine(memberSizes, members => createProbeRound(create(members)));
    const probes = measureCpuLine(memberSizes, members => createProbe(create(members)));
    const changes = measureCpuLine(memberSizes, members => createMembershipChange(create(members)));
    const changesWithManyPools = measureCpuLine(
        memberSizes,
        members => createMembershipChange(create(members, manyPoolCount)),
    );
    const memory = await measureMemoryLine(memberSizes, members => create(members));
    const hostLists = measureCpuLine(memberSizes, members => createHostListRead(create(members)));
    const hostBytes = memberSizes.map(size => ({ size, value: createHostList(create(size)).length }));
    return {
        hostListCpuUsPerHost: hostLists.slope,
        hostListBytesPerHost: fitLine(hostBytes).slope,
        probeRoundCpuUs: rounds.intercept,
        probeRoundCpuUsPerMember: rounds.slope,
        probeReceivedCpuUs: probes.intercept,
        probeReceivedCpuUsPerMember: probes.slope,
        membershipChangeCpuUs: changes.intercept,
        membershipChangeCpuUsPerMember: changes.slope,
        membershipChangeCpuUsPerMemberAndPool: (changesWithManyPools.slope - changes.slope) / (manyPoolCount - 1),
        memberBytes: memory.slope,
    };
}
