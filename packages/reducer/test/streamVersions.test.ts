/** Streams that are resumed while targets of several versions of a service are registered. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createStreamFleet, createTarget, type StreamCall, type StreamFleet } from "./createStreamFleet.js";

const oldTargets = ["t1", "t2", "t3"].map(name => createTarget(name, "v1"));
const newTargets = ["u1", "u2", "u3"].map(name => createTarget(name, "v2"));

/** Time after which a resumption has been answered, if its stream goes on. */
const answerMs = 500;

function beginStreams(fleet: StreamFleet, count = 60): readonly StreamCall[] {
    const routers = fleet.listRouters();
    const calls = Array.from({ length: count }, (_, index) => fleet.call(routers[index % routers.length]!));
    fleet.advance(answerMs);
    return calls;
}

/** Resumes each stream at another router that lives. */
function resumeStreams(fleet: StreamFleet, calls: readonly StreamCall[]): readonly StreamCall[] {
    const routers = fleet.listRouters();
    const resumptions = calls.map(({ router, resumes, callerId }, index) => {
        const others = routers.filter(other => other !== router);
        return fleet.call(others[index % others.length] ?? router, resumes ?? callerId);
    });
    fleet.advance(answerMs);
    return resumptions;
}

/** Kills all routers at once; they start again after `outageMs`. */
function restartAll(fleet: StreamFleet, outageMs = 100, onKilled: () => void = () => undefined): void {
    const routers = fleet.listRouters();
    routers.forEach(fleet.kill);
    fleet.advance(outageMs);
    onKilled();
    routers.forEach(fleet.restart);
}

function countJoined(calls: readonly StreamCall[], resumptions: readonly StreamCall[]): number {
    return resumptions.filter(({ versions }, index) => versions.some(version => version !== calls[index]!.versions[0]))
        .length;
}

function computeShareOfContinued(resumptions: readonly StreamCall[]): number {
    return resumptions.filter(({ versions }) => versions.length > 0).length / resumptions.length;
}

function assertRefusedAtOnce(resumptions: readonly StreamCall[], code: string): void {
    for (const { failure, versions } of resumptions) {
        assert.equal(versions, []);
        assert.is(failure?.code, code);
        assert.ok((failure?.afterMs ?? Infinity) <= 250, `${failure?.afterMs} ms`);
    }
}

// Guards against streams that hold events of two versions: callers resumed streams at any target.
test("a stream goes on at its version, whichever router it is resumed at", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, ...newTargets] });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    for (const call of calls) fleet.disconnect(call);
    const resumptions = resumeStreams(fleet, calls);
    assert.is(countJoined(calls, resumptions), 0);
    assert.is(computeShareOfContinued(resumptions), 1);
});

test("a stream goes on at its version after its router and the coordinator were killed", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, ...newTargets] });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    const coordinator = fleet.findCoordinator();
    const killed = [coordinator, fleet.listRouters().find(router => router !== coordinator)!];
    killed.forEach(fleet.kill);
    const broken = calls.filter(({ router }) => killed.includes(router));
    const resumptions = resumeStreams(fleet, broken);
    assert.is(countJoined(broken, resumptions), 0);
    assert.ok(computeShareOfContinued(resumptions) >= 0.75, `${computeShareOfContinued(resumptions)}`);
});

test("a later try names the call that brought the first event, after each router has restarted in turn", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, ...newTargets] });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    let latest = calls;
    for (const router of fleet.listRouters()) {
        fleet.restart(router);
        fleet.advance(600);
        const broken = latest.filter(call => call.router === router);
        const resumptions = resumeStreams(fleet, broken);
        assert.is(countJoined(broken, resumptions), 0);
        assert.ok(computeShareOfContinued(resumptions) >= 0.75, `${router}: ${computeShareOfContinued(resumptions)}`);
        latest = latest.map(call => resumptions[broken.indexOf(call)] ?? call).filter(({ versions }) =>
            versions.length > 0
        );
    }
});

test("a stream goes on at its version in a failure domain that is cut off", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, ...newTargets], routerCount: 12 });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    fleet.cutDomain("b");
    fleet.kill("r1");
    const broken = calls.filter(({ router }) => router === "r1");
    const resumptions = broken.map(({ callerId }) => fleet.call("r4", callerId));
    fleet.advance(answerMs);
    assert.is(countJoined(broken, resumptions), 0);
    // Placement without the coordinator has a lower limit, so only those that were placed count.
    assert.ok(resumptions.every(({ failure }) => failure?.code !== "STREAM_VERSION_UNKNOWN"));
});

// Guards against streams joined after all routers were killed: what they remembered is lost.
test("a stream of an unknown version does not go on after all routers were killed", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, ...newTargets] });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    restartAll(fleet);
    assertRefusedAtOnce(resumeStreams(fleet, calls), "STREAM_VERSION_UNKNOWN");
});

// Guards against resumptions that are all refused although engines know the streams: routers that lost power did not close
// their connections.
test("streams that engines still run go on after all routers have lost power", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, ...newTargets] });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    fleet.setRunning(true);
    restartAll(fleet, 800);
    fleet.advance(1_000);
    const resumptions = resumeStreams(fleet, calls);
    assert.is(countJoined(calls, resumptions), 0);
    assert.is(computeShareOfContinued(resumptions), 1);
});

for (const outageMs of [100, 2_600]) {
    test(`no stream is joined if its version has left while all routers were down for ${outageMs} ms`, () => {
        const fleet = createStreamFleet({ targets: oldTargets });
        fleet.advance(1_000);
        const calls = beginStreams(fleet);
        restartAll(fleet, outageMs, () => fleet.setTargets(newTargets));
        const resumptions = resumeStreams(fleet, calls);
        assert.is(countJoined(calls, resumptions), 0);
        assertRefusedAtOnce(resumptions, "STREAM_VERSION_UNKNOWN");
        // Once no stream of the version can be in progress, the record names the other one only.
        fleet.advance(25_000);
        const later = beginStreams(fleet);
        restartAll(fleet);
        assert.is(computeShareOfContinued(resumeStreams(fleet, later)), 1);
    });
}

test("streams go on after all routers were killed if the service has one version", () => {
    const fleet = createStreamFleet({ targets: oldTargets });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    restartAll(fleet);
    const resumptions = resumeStreams(fleet, calls);
    assert.is(countJoined(calls, resumptions), 0);
    assert.is(computeShareOfContinued(resumptions), 1);
});

test("without the store no stream is joined after all routers were killed", () => {
    const fleet = createStreamFleet({ targets: oldTargets });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    fleet.setStoreDown(true);
    restartAll(fleet);
    assertRefusedAtOnce(resumeStreams(fleet, calls), "STREAM_VERSION_UNKNOWN");
});

// Guards against streams that nobody continues in an outage of the store, although nothing can have changed.
test("streams go on while the store is down if the service has one version", () => {
    const fleet = createStreamFleet({ targets: oldTargets });
    fleet.advance(25_000);
    const calls = beginStreams(fleet);
    fleet.setStoreDown(true);
    fleet.advance(4_000);
    fleet.kill("r1");
    const broken = calls.filter(({ router }) => router === "r1");
    assert.is(computeShareOfContinued(resumeStreams(fleet, broken)), 1);
});

test("a router that the store and the others turn away joins no streams", () => {
    const fleet = createStreamFleet({ targets: oldTargets, routerCount: 12 });
    fleet.advance(25_000);
    fleet.cutDomain("b");
    fleet.setTargets([...oldTargets, ...newTargets]);
    fleet.advance(4_000);
    const calls = Array.from({ length: 60 }, () => fleet.call("r2"));
    fleet.advance(answerMs);
    const resumptions = calls.map(({ callerId }) => fleet.call("r1", callerId));
    fleet.advance(answerMs);
    assert.is(countJoined(calls, resumptions), 0);
});

test("a stream whose version has no targets left is refused at once", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, ...newTargets] });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    const ofOldVersion = calls.filter(({ versions }) => versions[0] === "v1");
    for (const call of ofOldVersion) fleet.disconnect(call);
    fleet.setTargets(newTargets);
    assertRefusedAtOnce(resumeStreams(fleet, ofOldVersion), "STREAM_VERSION_GONE");
});

// Guards against events of two versions within one response: the next attempt went to any other target.
test("the next attempt of a response that has begun goes to its version, or the response is broken off", () => {
    const fleet = createStreamFleet({ targets: [...oldTargets, newTargets[0]!] });
    fleet.advance(1_000);
    const calls = beginStreams(fleet);
    calls.forEach(fleet.breakOff);
    fleet.advance(answerMs);
    const ofOldVersion = calls.filter(({ versions }) => versions[0] === "v1");
    const ofNewVersion = calls.filter(({ versions }) => versions[0] === "v2");
    assert.ok(ofOldVersion.length > 0 && ofNewVersion.length > 0);
    for (const { versions } of ofOldVersion) assert.equal(versions, ["v1", "v1"]);
    for (const { versions, isBroken } of ofNewVersion) {
        assert.equal(versions, ["v2"]);
        assert.ok(isBroken);
    }
});

// Guards against the version of an entry that lags behind the process: its stream must not go on anywhere.
test("a stream does not go on if its target has started again as another version meanwhile", () => {
    const fleet = createStreamFleet({ targets: [{ ...oldTargets[0]!, startedAtUnixMs: 1 }, newTargets[0]!] });
    fleet.advance(1_000);
    const calls = Array.from({ length: 20 }, () => fleet.call("r1"));
    fleet.advance(50);
    fleet.setTargets([{ ...oldTargets[0]!, startedAtUnixMs: 2, version: "v2" }, newTargets[0]!]);
    fleet.advance(answerMs);
    const uncertain = calls.slice(0, 20);
    for (const call of uncertain) fleet.disconnect(call);
    const resumptions = resumeStreams(fleet, uncertain);
    const placedAtRestarted = resumptions.filter(({ failure }) => failure?.code === "STREAM_VERSION_UNKNOWN");
    assert.ok(placedAtRestarted.length > 0);
    assert.is(countJoined(uncertain, resumptions), 0);
});

test("a service with one version costs no messages, and no calls to the store after the start", () => {
    const fleet = createStreamFleet({ targets: oldTargets });
    fleet.advance(1_000);
    const callsOfStart = fleet.countStoreCalls();
    fleet.advance(24_000);
    const calls = beginStreams(fleet);
    fleet.kill("r1");
    resumeStreams(fleet, calls.filter(({ router }) => router === "r1"));
    assert.is(fleet.countStreamMessages(), 0);
    assert.is(fleet.countStoreCalls(), callsOfStart);
});

test.run();
