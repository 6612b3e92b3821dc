/** Guards against DRAIN, BUDGET and LIMIT: what a target has said is forgotten, or taken for that of another start. */
import type { TargetNotice } from "@rhubarbwheel/types/placement";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createTargetNotices } from "../src/createTargetNotices.js";

const target = { target: "target-1", startedAtUnixMs: 1 };
const restarted = { target: "target-1", startedAtUnixMs: 2 };

function createNotice(more: Partial<TargetNotice> = {}): TargetNotice {
    return { isLeaving: false, rateLimit: "none", ...more };
}

test("leaving holds for all later responses, and not for a new start of the target", () => {
    const notices = createTargetNotices();
    assert.is(notices.record(target, createNotice({ isLeaving: true }), 0, 10), true);
    assert.is(notices.record(target, createNotice(), 20, 30), false);
    assert.is(notices.isLeaving(target), true);
    assert.is(notices.isLeaving(restarted), false);
    assert.is(notices.countLeaving(), 1);
});

test("the longest pause holds", () => {
    const notices = createTargetNotices();
    notices.record(target, createNotice({ pauseMs: 4_000 }), 0, 100);
    notices.record(target, createNotice({ pauseMs: 250 }), 0, 200);
    assert.is(notices.getPausedUntil(target), 4_100);
    assert.is(notices.getPausedUntil(restarted), -Infinity);
});

test("a limit is raised, lowered and withdrawn by later responses, and an unreadable one changes nothing", () => {
    const notices = createTargetNotices();
    const record = (rateLimit: TargetNotice["rateLimit"], now: number) => {
        const hasChanged = notices.record(target, createNotice({ rateLimit }), now - 5, now);
        return `${hasChanged} ${notices.getRateLimit(target)}`;
    };
    assert.is(record(4, 100), "true 4");
    assert.is(record(4, 200), "false 4");
    assert.is(record(9.5, 300), "true 9.5");
    assert.is(record("unreadable", 400), "false 9.5");
    assert.is(record(2, 500), "true 2");
    assert.is(record("none", 600), "true undefined");
});

// Guards against a limit that a response withdraws which the target wrote before it had named the limit.
test("a response to a call that was sent before the limit was named does not withdraw it", () => {
    const notices = createTargetNotices();
    notices.record(target, createNotice({ rateLimit: 4 }), 90, 100);
    notices.record(target, createNotice(), 80, 120);
    const fields = { type: "targetNotice", ...target, isLeaving: false, isAnnounced: true } as const;
    notices.merge({ ...fields, ageMs: 60 }, 150);
    assert.is(notices.getRateLimit(target), 4);
    assert.is(notices.merge({ ...fields, ageMs: 20 }, 150), true);
    assert.is(notices.getRateLimit(target), undefined);
});

test("a target that accepts nothing still gets a call from time to time, in whose response it can say otherwise", () => {
    const notices = createTargetNotices();
    notices.record(target, createNotice({ rateLimit: 0 }), 0, 10);
    assert.is(notices.getRateLimit(target), 0.25);
});

test("notices of another router are taken over, with the start of the target that they are about", () => {
    const notices = createTargetNotices();
    const message = {
        type: "targetNotice",
        ...restarted,
        isLeaving: true,
        rateLimit: 3,
        ageMs: 5,
        isAnnounced: true,
    } as const;
    assert.is(notices.merge(message, 100), true);
    assert.is(notices.merge(message, 110), false);
    assert.equal(notices.getShared(restarted), { isLeaving: true, rateLimit: 3 });
    assert.equal(notices.getShared(target), { isLeaving: false, rateLimit: undefined });
});

// Guards against a late response of a target that has started again since.
test("a response of an earlier start says nothing about the present one", () => {
    const notices = createTargetNotices();
    notices.record(restarted, createNotice({ rateLimit: 4 }), 90, 100);
    assert.is(notices.record(target, createNotice({ isLeaving: true, pauseMs: 5_000 }), 20, 110), false);
    const message = { type: "targetNotice", ...target, isLeaving: true, ageMs: 90, isAnnounced: true } as const;
    assert.is(notices.merge(message, 110), false);
    assert.equal(notices.getShared(restarted), { isLeaving: false, rateLimit: 4 });
    assert.is(notices.getPausedUntil(restarted), -Infinity);
});

// Guards against memory that grows with every start of a target.
test("what targets have said that are long gone is forgotten", () => {
    const notices = createTargetNotices();
    for (let index = 0; index <= 10_000; index++)
        notices.record({ target: `t-${index}` }, createNotice({ isLeaving: true }), 0, 10);
    assert.is(notices.countLeaving(), 10_000);
    assert.is(notices.isLeaving({ target: "t-0" }), false);
    assert.is(notices.isLeaving({ target: "t-10000" }), true);
});

test.run();
