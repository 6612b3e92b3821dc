/** Guards against lost, duplicated or incorrectly reported requests at an entry router (guarantees G5 to G7, G9). */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { RequestSummary, RouterEvent } from "@rhubarbwheel/types/events";
import type { PoolAnnouncementMessage, PoolReportMessage } from "@rhubarbwheel/types/peer-messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEntryQueue } from "../src/createEntryQueue.js";

const targets = ["t1", "t2"].map(name => ({ name, address: `http://${name}`, failureDomain: "fd1" }));
const spec = { kind: "model" as const, targets, targetLimit: 4, coldLimit: 2, queueTimeoutMs: 1000 };
const self = { router: "r1", incarnation: 7, state: "alive" as const, address: "r1:1", failureDomain: "fd1" };

/** Creates an entry queue with a test as its coordinator; `steps` lists its effects in short form. */
function createQueue(opts: { readonly slots?: number; readonly maxQueued?: number; } = {}) {
    const service = { name: "proofs", version: 1, spec };
    const state = { now: 0, freshness: "fresh" as "fresh" | "stale", version: 0, total: opts.slots ?? 1, report: 0 };
    const steps: string[] = [];
    const reports: PoolReportMessage[] = [];
    const queue = createEntryQueue({
        identity: self,
        membership: {
            listRoutable: () => [self],
            getMember: () => self,
            countListed: () => 1,
            countListedAlive: () => 1,
            findCoordinator: () => self,
        },
        configuration: {
            listServices: () => [service],
            getService: () => service,
            getWorkspace: () => ({ share: 1, credentialHashes: [], maxQueuedPerRouter: opts.maxQueued ?? 10 }),
            getFailureDomain: () => ({ state: "in" }),
            isTargetOpen: () => true,
            getFreshness: () => state.freshness,
            getDigest: () => ({ revision: 1, storeUnreachable: false }),
        },
    });
    const recordEffect = (effect: Effect): void => {
        if (effect.type === "sendToTarget")
            steps.push(`send ${effect.requestId}#${effect.attempt} ${effect.target}${effect.resume ? " resume" : ""}`);
        else if (effect.type === "cancelAtTarget") steps.push(`cancel ${effect.requestId}`);
        else if (effect.type === "endRequest") steps.push(`end ${effect.requestId} ${effect.outcome} ${effect.code}`);
        else if (effect.type === "stop") steps.push("stop");
        else if (effect.type === "raise" && effect.event.type === "requestEnded")
            steps.push(`ended ${effect.event.requestId} ${effect.event.outcome} ${effect.event.cost}`);
        else if (effect.type === "sendToPeer" && effect.message.type === "poolReport") reports.push(effect.message);
    };
    const send = (event: RouterEvent) => queue.reduce({ ...event, now: state.now }).forEach(recordEffect);
    const announce = (changes: Partial<PoolAnnouncementMessage> = {}) => {
        const message = {
            type: "poolAnnouncement" as const,
            pool: "proofs",
            incarnation: self.incarnation,
            version: state.version += 1,
            reportSequence: reports.at(-1)?.sequence ?? 0,
            granted: targets.map(({ name }) => ({ target: name, generation: 1, total: state.total })),
            poolVirtualTime: 0,
            virtualTimes: [],
            ceiling: 1e9,
            contended: false,
            targets: targets.map(({ name }) => ({ target: name, generation: 1, condition: "warm" as const, limit: 4 })),
            ...changes,
        };
        send({ type: "peerMessage", now: 0, from: "r1", message });
    };
    const tick = (now: number) => {
        state.now = now;
        send({ type: "tick", now });
    };
    const submit = (id: string, extra: Partial<RequestSummary> = {}) =>
        send({
            type: "requestArrived",
            now: 0,
            request: { id, workspace: "a", service: "proofs", idempotent: true, inputCost: 10, ...extra },
        });
    const end = (id: string, attempt: number, target: string, changes: Partial<RouterEvent> = {}) =>
        send({
            type: "targetEnded",
            now: 0,
            requestId: id,
            attempt,
            target,
            result: "complete",
            sent: true,
            responseStarted: false,
            cost: 50,
            ...changes,
        } as RouterEvent);
    tick(100);
    announce();
    return { queue, state, steps, reports, send, announce, tick, submit, end };
}

type Queue = ReturnType<typeof createQueue>;

const broken = { result: "broken" as const, cost: 5 };
const nonIdempotent = { idempotent: false };

/** Events for requests q1, q2, ... with one free slot per target, and the expected steps. */
const cases: Readonly<Record<string, readonly [(queue: Queue) => void, readonly string[]]>> = {
    "a complete request ends once and later events are ignored": [({ submit, end }) => {
        submit("q1");
        end("q1", 1, "t1");
        end("q1", 1, "t1");
    }, ["send q1#1 t1", "ended q1 complete 50"]],
    "a broken idempotent request is retried at another target": [({ submit, end }) => {
        submit("q1");
        end("q1", 1, "t1", broken);
        end("q1", 1, "t1", broken);
        end("q1", 2, "t2");
    }, ["send q1#1 t1", "send q1#2 t2", "ended q1 complete 55"]],
    "a non-idempotent request that may have been sent is never retried": [({ submit, end }) => {
        submit("q1", nonIdempotent);
        end("q1", 1, "t1", broken);
    }, ["send q1#1 t1", "end q1 unknown TARGET_BROKEN", "ended q1 unknown 5"]],
    "a non-idempotent request that was certainly not sent is retried": [({ submit, end }) => {
        submit("q1", nonIdempotent);
        end("q1", 1, "t1", { result: "refused", sent: false, cost: 0 } as Partial<RouterEvent>);
    }, ["send q1#1 t1", "send q1#2 t2"]],
    "a stream that breaks after output is resumed once at the same target": [({ submit, announce, end, send }) => {
        const state = { target: "t1", generation: 2, condition: "warm" as const, limit: 4, startId: "s1" };
        submit("q1");
        send({ type: "targetAccepted", now: 0, requestId: "q1", attempt: 1, target: "t1", startId: "s1" });
        end("q1", 1, "t1", { ...broken, responseStarted: true } as Partial<RouterEvent>);
        announce({ targets: [{ ...state, suspect: true }] });
        announce({ targets: [state] });
        announce({ targets: [{ ...state, generation: 3 }] });
        end("q1", 2, "t1", broken);
        announce({ targets: [{ ...state, generation: 4 }] });
    }, ["send q1#1 t1", "send q1#2 t1 resume", "end q1 unknown TARGET_BROKEN", "ended q1 unknown 10"]],
    "a stream is not resumed at a target that has restarted": [({ submit, end, send }) => {
        submit("q1");
        send({ type: "targetAccepted", now: 0, requestId: "q1", attempt: 1, target: "t1", startId: "s1" });
        end("q1", 1, "t1", { ...broken, responseStarted: true, startId: "s2" } as Partial<RouterEvent>);
    }, ["send q1#1 t1", "end q1 unknown TARGET_BROKEN", "ended q1 unknown 5"]],
    "a queued request that is cancelled is never sent": [({ submit, end, send }) => {
        ["q1", "q2", "q3"].forEach(id => submit(id));
        send({ type: "requestCancelled", now: 0, requestId: "q3" });
        end("q1", 1, "t1");
    }, ["send q1#1 t1", "send q2#1 t2", "ended q3 notRun 0", "ended q1 complete 50"]],
    "a cancelled idempotent request is cancelled at its target and not retried": [({ submit, end, send }) => {
        submit("q1");
        send({ type: "requestCancelled", now: 0, requestId: "q1" });
        end("q1", 1, "t1", broken);
    }, ["send q1#1 t1", "cancel q1", "ended q1 unknown 5"]],
    "a cancelled non-idempotent request continues to run": [({ submit, end, send }) => {
        submit("q1", nonIdempotent);
        send({ type: "requestCancelled", now: 0, requestId: "q1" });
        end("q1", 1, "t1");
    }, ["send q1#1 t1", "ended q1 complete 50"]],
    "a queued request ends after the queue timeout": [({ submit, tick }) => {
        ["q1", "q2", "q3"].forEach(id => submit(id));
        tick(1100);
    }, ["send q1#1 t1", "send q2#1 t2", "end q3 notRun QUEUE_TIMEOUT", "ended q3 notRun 0"]],
    "a request that was sent is not reported as not run": [({ submit, end, tick, announce }) => {
        submit("q1");
        submit("q2");
        announce({ contended: true });
        end("q1", 1, "t1", broken);
        tick(1100);
    }, ["send q1#1 t1", "send q2#1 t2", "end q1 unknown TARGET_BROKEN", "ended q1 unknown 5"]],
    "a stale router keeps waiting requests and refuses new ones": [({ submit, end, send, state, announce }) => {
        ["q1", "q2", "q3"].forEach(id => submit(id));
        state.freshness = "stale";
        send({ type: "freshnessChanged", now: 0, freshness: "stale" });
        submit("q4");
        end("q1", 1, "t1");
        state.freshness = "fresh";
        send({ type: "freshnessChanged", now: 0, freshness: "fresh" });
        announce({ granted: [{ target: "t1", generation: 1, total: 2 }] });
    }, [
        "send q1#1 t1",
        "send q2#1 t2",
        "end q4 notRun CONFIGURATION_STALE",
        "ended q4 notRun 0",
        "ended q1 complete 50",
        "send q3#1 t1",
    ]],
    "a drain ends queued requests and stops after running ones": [({ submit, end, send }) => {
        ["q1", "q2", "q3"].forEach(id => submit(id));
        send({ type: "drainRequested", now: 0 });
        submit("q4");
        end("q1", 1, "t1");
        end("q2", 1, "t2");
    }, [
        "send q1#1 t1",
        "send q2#1 t2",
        "end q3 notRun DRAINING",
        "ended q3 notRun 0",
        "end q4 notRun DRAINING",
        "ended q4 notRun 0",
        "ended q1 complete 50",
        "ended q2 complete 50",
        "stop",
    ]],
    "a duplicate or outdated announcement grants nothing": [({ submit, announce, state }) => {
        announce({ version: state.version });
        announce();
        announce({ version: 1, granted: [{ target: "t1", generation: 1, total: 9 }] });
        ["q1", "q2", "q3"].forEach(id => submit(id));
    }, ["send q1#1 t1", "send q2#1 t2"]],
    "an announcement for the previous process grants nothing": [({ submit, announce }) => {
        announce({ incarnation: 6, granted: [{ target: "t1", generation: 1, total: 9 }] });
        ["q1", "q2", "q3"].forEach(id => submit(id));
    }, ["send q1#1 t1", "send q2#1 t2"]],
    "slots are not used after a pause until the coordinator has acknowledged a report": [
        ({ submit, announce, state, tick }) => {
            state.now = 5000;
            announce();
            submit("q1");
            tick(5001);
            announce();
        },
        ["send q1#1 t1"],
    ],
    "slots of an older generation are not used": [({ submit, announce }) => {
        announce({ targets: [{ target: "t1", generation: 2, condition: "cold", limit: 2 }], granted: [] });
        ["q1", "q2"].forEach(id => submit(id));
    }, ["send q1#1 t2"]],
    "a workspace above the ceiling waits": [({ submit, announce }) => {
        announce({ ceiling: 100 });
        ["q1", "q2"].forEach(id => submit(id));
    }, ["send q1#1 t1"]],
};

for (const [name, [run, expected]] of Object.entries(cases)) {
    test(name, () => {
        const queue = createQueue();
        run(queue);
        assert.equal(queue.steps, expected);
    });
}

test("requests of a workspace above its queue limit are refused", () => {
    const { submit, steps, queue } = createQueue({ slots: 0, maxQueued: 3 });
    for (let index = 0; index < 5; index += 1) submit(`q${index}`);
    submit("b1", { workspace: "b" });
    assert.equal(steps.filter(step => step.startsWith("end ")), [
        "end q3 notRun QUEUE_FULL",
        "end q4 notRun QUEUE_FULL",
    ]);
    assert.is(queue.countQueued(), 4);
});

test("retries are limited to a tenth of the requests plus three", () => {
    const { submit, end, steps, announce, state } = createQueue({ slots: 1 });
    for (let index = 0; index < 60; index += 1) {
        submit(`q${index}`);
        for (let attempt = 1; attempt <= 6; attempt += 1) {
            const sent = steps.findLast(step => step.startsWith(`send q${index}#${attempt} `));
            if (sent === undefined) continue;
            end(`q${index}`, attempt, sent.split(" ")[2] ?? "", broken);
            // The coordinator raises the generation of a target that breaks connections, and grants new slots.
            state.total += 1;
            const generation = state.total;
            const states = targets.map(({ name }) => ({
                target: name,
                generation,
                condition: "warm" as const,
                limit: 4,
            }));
            announce({ targets: states, granted: states.map(({ target }) => ({ target, generation, total: 1 })) });
        }
    }
    const retries = steps.filter(step => /^send .*#[2-9]/.test(step)).length;
    assert.is(retries, 9);
});

test("a failure is reported in the same step, and slots of the target are not reused", () => {
    const { submit, end, reports, steps } = createQueue({ slots: 2 });
    ["q1", "q2"].forEach(id => submit(id, nonIdempotent));
    end("q1", 1, "t1", broken);
    assert.equal(reports.at(-1)?.observations, [{ target: "t1", generation: 1, kind: "broken" }]);
    ["q3", "q4", "q5"].forEach(id => submit(id));
    assert.equal(steps.filter(step => step.startsWith("send")).map(step => step.split(" ")[2]), ["t1", "t2", "t2"]);
});

test("in a contended pool, unused slots are returned in the same step", () => {
    const { announce, reports } = createQueue();
    announce({ contended: true });
    assert.equal(reports.at(-1)?.slots, []);
});

test.run();
