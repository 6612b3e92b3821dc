/** Guards against pools that keep a failed coordinator, and against live members that never get their pools back. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseByRendezvous } from "../src/chooseByRendezvous.js";
import { createMemberTable } from "../src/createMemberTable.js";

const createCandidate = (router: string) => ({ router, address: `${router}:1`, failureDomain: "fd1" });
const pools = Array.from({ length: 20 }, (_, index) => `pool-${index}`);

function createTable() {
    const table = createMemberTable({ ...createCandidate("r0"), incarnation: 1 }, []);
    for (const router of ["r1", "r2"]) table.apply({ ...createCandidate(router), incarnation: 1, state: "alive" }, 0);
    return table;
}

const countPools = (table: ReturnType<typeof createTable>, router: string) =>
    pools.filter(pool => table.findCoordinator(pool).router === router).length;

test("a suspect keeps its pools until it is excluded as coordinator", () => {
    const table = createTable();
    const before = countPools(table, "r1");
    assert.ok(before > 0);
    table.apply({ ...createCandidate("r1"), incarnation: 1, state: "suspect" }, 1_000);
    assert.is(countPools(table, "r1"), before);
    table.excludeAsCoordinator("r1");
    assert.is(countPools(table, "r1"), 0);
    assert.is(table.listRoutable().length, 3);
});

test("a member that refutes the suspicion gets its pools back", () => {
    const table = createTable();
    const before = countPools(table, "r1");
    table.apply({ ...createCandidate("r1"), incarnation: 1, state: "suspect" }, 1_000);
    table.excludeAsCoordinator("r1");
    table.apply({ ...createCandidate("r1"), incarnation: 2, state: "alive" }, 2_000);
    assert.is(countPools(table, "r1"), before);
});

test("coordinators updated incrementally equal those of a complete ranking", () => {
    const change = fc.record({
        router: fc.constantFrom("r1", "r2", "r3", "r4"),
        state: fc.constantFrom("alive" as const, "suspect" as const, "dead" as const, "left" as const),
        isExcluded: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(change, { maxLength: 40 }), changes => {
            const table = createMemberTable({ ...createCandidate("r0"), incarnation: 1 }, []);
            const candidates = new Set(["r0"]);
            changes.forEach(({ router, state, isExcluded }, index) => {
                table.apply({ ...createCandidate(router), incarnation: index + 1, state }, index);
                const isCandidate = state === "alive" || (state === "suspect" && !isExcluded);
                if (state === "suspect" && isExcluded) table.excludeAsCoordinator(router);
                if (isCandidate) candidates.add(router);
                else candidates.delete(router);
                for (const pool of pools)
                    assert.is(table.findCoordinator(pool).router, chooseByRendezvous(pool, [...candidates]));
            });
        }),
        { seed: 3, numRuns: 100 },
    );
});

test.run();
