/** Tests what a router may still use after parts of its view have gone stale. All times are on a fake clock. */
import type { FleetConfiguration, TargetEntry, ViewEntries, ViewKind } from "@rhubarbwheel/types/fleet";
import { viewKinds } from "@rhubarbwheel/types/fleet";
import type { PlacementEvent } from "@rhubarbwheel/types/placement-events";
import type { StoreFailureCause } from "@rhubarbwheel/types/view-events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFleetView } from "../src/createFleetView.js";

const configuration: FleetConfiguration = {
    version: 7,
    routes: [],
    pools: [{ service: "orders", maxConnections: 10, coldRequestsPerSecond: 0 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: [{ workspace: "ada", credentials: ["key"] }],
};

function createTarget(target: string, more: Partial<TargetEntry> = {}): TargetEntry {
    return {
        target,
        service: "orders",
        address: "10.0.0.1:80",
        failureDomain: "a",
        slots: 6,
        state: "ready",
        coldForMs: 0,
        ...more,
    };
}

function createTestView() {
    const view = createFleetView({
        getMaxCredentialAgeMs: () => 4_500,
        entryRestoreMs: 1_900,
        maxLapseMs: 2_900,
        getRegion: domain => domain === "a" ? "north" : "south",
    });
    let revision = 0;
    const events: number[] = [];
    const reduce = (event: PlacementEvent): void => {
        for (const effect of view.reduce(event)) if (effect.type === "log") events.push(effect.event);
    };
    const list = <K extends ViewKind>(kind: K, entries: readonly ViewEntries[K][], now: number): void =>
        reduce({ type: "viewListed", kind, entries, era: 1, revision: ++revision, confirmedAt: now, now });
    return {
        view,
        events,
        reduce,
        list,
        update: <K extends ViewKind>(kind: K, name: string, entry: ViewEntries[K] | undefined, now: number): void =>
            reduce({
                type: "viewChanged",
                kind,
                changes: [{ name, entry }],
                era: 1,
                revision: ++revision,
                confirmedAt: now,
                now,
            }),
        confirm: (kind: ViewKind, now: number): void =>
            reduce({ type: "viewChanged", kind, changes: [], era: 1, revision, confirmedAt: now, now }),
        interrupt: (kind: ViewKind, now: number, cause: StoreFailureCause = "store"): void =>
            reduce({ type: "viewInterrupted", kind, cause, requestSentAt: now, reason: "status 503", now }),
        listUsable: () => view.listUsableTargets("orders").map(entry => entry.target),
    };
}

function createReadyView() {
    const fleet = createTestView();
    fleet.list("configuration", [configuration], 0);
    fleet.list("targets", [createTarget("t1"), createTarget("t2", { failureDomain: "b" })], 0);
    fleet.list("closedDomains", [], 0);
    fleet.list("routers", [], 0);
    return fleet;
}

/** The store refuses requests from 1,000 until shortly before 3,000, when the entry of t1 is missing. */
function loseEntryInOutage(fleet: ReturnType<typeof createReadyView>): void {
    fleet.interrupt("targets", 1_000);
    fleet.interrupt("targets", 2_800);
    fleet.list("targets", [createTarget("t2")], 3_000);
}

interface ViewCase {
    readonly name: string;
    readonly prepare: (fleet: ReturnType<typeof createReadyView>) => void;
    readonly at: number;
    readonly credentials: "current" | "unconfirmed" | "unknown";
    readonly usable: readonly string[];
}

// Guards against requests to targets that must get none, against capacity that is lost in an outage of the store, and
// against credentials that are accepted although they may have been revoked.
const cases: readonly ViewCase[] = [
    { name: "every kind is current", prepare: () => undefined, at: 100, credentials: "current", usable: ["t1", "t2"] },
    {
        name: "the store failed for less than the maximum credential age",
        prepare: fleet => fleet.interrupt("configuration", 1_000),
        at: 4_400,
        credentials: "current",
        usable: ["t1", "t2"],
    },
    {
        name: "the store failed for longer than the maximum credential age",
        prepare: fleet => fleet.interrupt("configuration", 1_000),
        at: 4_600,
        credentials: "unconfirmed",
        usable: ["t1", "t2"],
    },
    {
        name: "the store has recovered",
        prepare: fleet => {
            fleet.interrupt("configuration", 1_000);
            fleet.confirm("configuration", 6_000);
        },
        at: 6_100,
        credentials: "current",
        usable: ["t1", "t2"],
    },
    {
        name: "the host was suspended, or the wall clock was set",
        prepare: fleet => fleet.reduce({ type: "clockJumped", byMs: 3_000, now: 100 }),
        at: 101,
        credentials: "unconfirmed",
        usable: ["t1", "t2"],
    },
    {
        name: "an entry vanished",
        prepare: fleet => fleet.update("targets", "t1", undefined, 1_000),
        at: 1_001,
        credentials: "current",
        usable: ["t2"],
    },
    // Guards against DRAIN: a target that was removed stays in use because the router's own connections failed.
    {
        name: "an entry vanished while kept connections failed",
        prepare: fleet => {
            fleet.interrupt("targets", 1_000, "connection");
            fleet.update("targets", "t1", undefined, 1_600);
        },
        at: 1_601,
        credentials: "current",
        usable: ["t2"],
    },
    {
        name: "an entry vanished while the store refused some requests",
        prepare: fleet => {
            fleet.interrupt("targets", 1_000, "request");
            fleet.update("targets", "t1", undefined, 1_600);
        },
        at: 1_601,
        credentials: "current",
        usable: ["t2"],
    },
    {
        name: "an entry vanished in an outage, within the grace period",
        prepare: loseEntryInOutage,
        at: 4_800,
        credentials: "unconfirmed",
        usable: ["t1", "t2"],
    },
    {
        name: "an entry vanished in an outage, after the grace period",
        prepare: fleet => {
            loseEntryInOutage(fleet);
            fleet.confirm("targets", 5_000);
        },
        at: 5_000,
        credentials: "unconfirmed",
        usable: ["t2"],
    },
    // Guards against DRAIN: the grace period counted from when the router noticed the end of the outage.
    {
        name: "an entry vanished in an outage that ended long before the next request",
        prepare: fleet => {
            fleet.interrupt("targets", 1_000);
            fleet.list("targets", [createTarget("t2")], 3_000);
        },
        at: 3_900,
        credentials: "current",
        usable: ["t2"],
    },
    {
        name: "an entry vanished after the time in which targets restore entries",
        prepare: fleet => {
            fleet.interrupt("targets", 1_000);
            fleet.list("closedDomains", [], 1_100);
            fleet.update("targets", "t1", undefined, 3_000);
        },
        at: 3_001,
        credentials: "current",
        usable: ["t2"],
    },
    // Guards against a service without targets: they cannot restore their entries in the second outage.
    {
        name: "another outage began before targets had restored their entries",
        prepare: fleet => {
            fleet.interrupt("targets", 1_000);
            fleet.list("targets", [createTarget("t2")], 1_200);
            fleet.interrupt("routers", 1_800);
            fleet.interrupt("routers", 4_000);
        },
        at: 4_300,
        credentials: "current",
        usable: ["t1", "t2"],
    },
    {
        name: "an entry vanished in an outage and reappeared",
        prepare: fleet => {
            loseEntryInOutage(fleet);
            fleet.update("targets", "t1", createTarget("t1"), 4_000);
            fleet.confirm("targets", 9_000);
        },
        at: 9_000,
        credentials: "unconfirmed",
        usable: ["t1", "t2"],
    },
    {
        name: "a leaving target vanished in an outage",
        prepare: fleet => {
            fleet.update("targets", "t1", createTarget("t1", { state: "leaving" }), 500);
            fleet.interrupt("targets", 1_000);
            fleet.list("targets", [createTarget("t2")], 3_000);
        },
        at: 3_001,
        credentials: "current",
        usable: ["t2"],
    },
    {
        name: "a target is leaving",
        prepare: fleet => fleet.update("targets", "t1", createTarget("t1", { state: "leaving" }), 500),
        at: 501,
        credentials: "current",
        usable: ["t2"],
    },
    {
        name: "an entry became unreadable",
        prepare: fleet => fleet.update("targets", "t1", undefined, 500),
        at: 501,
        credentials: "current",
        usable: ["t2"],
    },
    {
        name: "a failure domain is evacuated",
        prepare: fleet => fleet.update("closedDomains", "b", { failureDomain: "b" }, 500),
        at: 501,
        credentials: "current",
        usable: ["t1"],
    },
    {
        name: "an evacuation ended during an outage of the store",
        prepare: fleet => {
            fleet.update("closedDomains", "b", { failureDomain: "b" }, 500);
            fleet.interrupt("closedDomains", 1_000);
            fleet.list("closedDomains", [], 2_000);
        },
        at: 2_001,
        credentials: "current",
        usable: ["t1", "t2"],
    },
];

for (const { name, prepare, at, credentials, usable } of cases) {
    test(name, () => {
        const fleet = createReadyView();
        prepare(fleet);
        fleet.reduce({ type: "wake", now: at });
        assert.is(fleet.view.getCredentialFreshness(at), credentials);
        assert.equal(fleet.listUsable(), usable);
    });
}

test("a router that has read nothing has unknown credentials and is not complete", () => {
    const { view } = createTestView();
    assert.is(view.getCredentialFreshness(0), "unknown");
    assert.not.ok(view.isComplete());
});

// Guards against a router that does not know the number of routers and claims the whole capacity of a pool.
for (const missing of viewKinds) {
    test(`a router that has not read ${missing} is not complete`, () => {
        const { view, list } = createTestView();
        if (missing !== "configuration") list("configuration", [configuration], 0);
        for (const kind of ["targets", "closedDomains", "routers"] as const) if (kind !== missing) list(kind, [], 0);
        assert.not.ok(view.isComplete());
    });
}

test("a router is complete once it has read every kind", () => {
    const { view } = createReadyView();
    assert.ok(view.isComplete());
});

test("an older configuration is never applied", () => {
    const fleet = createReadyView();
    fleet.list("configuration", [{ ...configuration, version: 6, workspaces: [] }], 1_000);
    assert.is(fleet.view.getConfiguration()?.version, 7);
    assert.ok(fleet.view.getRoutes()?.findWorkspace("key"));
    assert.ok(fleet.events.includes(1601));
});

test("a newer configuration takes effect at once, and a revoked credential with it", () => {
    const fleet = createReadyView();
    fleet.update("configuration", "main", { ...configuration, version: 9, workspaces: [] }, 1_000);
    assert.is(fleet.view.getRoutes()?.findWorkspace("key"), undefined);
    assert.ok(fleet.view.getRoutes()?.needsCredentials);
});

test("targets of other regions are excluded", () => {
    const { view } = createReadyView();
    assert.equal(view.listUsableTargets("orders", ["south"]).map(entry => entry.target), ["t2"]);
});

test("the remaining warm-up time counts down from the receipt of the entry", () => {
    const fleet = createReadyView();
    fleet.update("targets", "t1", createTarget("t1", { coldForMs: 3_000 }), 1_000);
    assert.is(fleet.view.getColdRemainingMs("t1", 2_000), 2_000);
    assert.is(fleet.view.getColdRemainingMs("t1", 4_500), 0);
});

test("each outage and recovery of the store is logged once", () => {
    const fleet = createReadyView();
    for (const now of [100, 200, 300]) fleet.interrupt("targets", now);
    for (const now of [400, 500]) fleet.confirm("targets", now);
    assert.equal(fleet.events.filter(event => event === 1607 || event === 1608), [1607, 1608]);
});

test.run();
