/** How much of what engines can read is used, and who is refused, when about as much is asked for as they can read. */
import type { PlacementRequest } from "@rhubarbwheel/types/placement";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCoordinatorHarness } from "./coordinatorHarness.js";
import { createRequest, createTargets, enginePool } from "./placementFixtures.js";

/** A step of an engine as the users' sheet of kaurimbi-press gives it, with 25 running requests. */
const stepMs = 4.7;
const tokensPerMs = 157;
const tokensPerStep = 1_024;
const firstEventMs = 26;
const fullRate = tokensPerStep / (stepMs + tokensPerStep / tokensPerMs);

interface QueuedPrompt {
    readonly request: PlacementRequest;
    readonly arrivedAt: number;
    tokensLeft: number;
}

/** An engine that reads the prompts that have arrived in order, as many in a step as fit. */
function createSteppingEngine(onRead: (request: PlacementRequest, firstEventAt: number) => void) {
    const queue: QueuedPrompt[] = [];
    let time = 0;
    let readTokens = 0;

    const runStep = (): void => {
        let room = tokensPerStep;
        const finished: PlacementRequest[] = [];
        for (let head = queue[0]; head !== undefined && head.arrivedAt <= time && room > 0; head = queue[0]) {
            const tokens = Math.min(room, head.tokensLeft);
            head.tokensLeft -= tokens;
            room -= tokens;
            if (head.tokensLeft > 0) break;
            queue.shift();
            finished.push(head.request);
        }
        readTokens += tokensPerStep - room;
        time += stepMs + (tokensPerStep - room) / tokensPerMs;
        for (const request of finished) onRead(request, time + firstEventMs);
    };

    return {
        add: (request: PlacementRequest, newTokens: number, arrivedAt: number): void => {
            if (queue.length === 0) time = Math.max(time, arrivedAt);
            queue.push({ request, arrivedAt, tokensLeft: newTokens });
        },
        advance: (now: number): void => {
            while (queue.length > 0 && time <= now) runStep();
        },
        countRead: () => readTokens,
    };
}

/** A mix of the users' long, short and middling prompts; three of four requests are of three large workspaces. */
function createMixedRequest(index: number, random: () => number): PlacementRequest {
    const kind = random();
    let promptTokens = 600 + 2_400 * random();
    if (kind < 0.3) promptTokens = 3_000 + 8_000 * random();
    else if (kind < 0.56) promptTokens = 200 + 800 * random();
    const workspace = random() < 0.25 ? `small-${Math.floor(random() * 12)}` : `large-${Math.floor(random() * 3)}`;
    const prompt = { promptTokens: Math.round(promptTokens), outputTokens: 200, parts: [] };
    return createRequest(`s${index}`, { workspace, prompt });
}

interface Played {
    /** Part of what engines with full steps read. */
    readonly readRatio: number;
    readonly refusedRatio: number;
    readonly refusedOfSmall: number;
}

function play(meanPauseMs: number): Played {
    const targets = createTargets(8, { failureDomain: "a" });
    const harness = createCoordinatorHarness({ pool: enginePool, targets, tokensPerSecond: 560_000 });
    const generator = xoroshiro128plus(11);
    const random = (): number => uniformFloat64(generator);
    const durationMs = 10_000;
    const events: { readonly at: number; readonly request: PlacementRequest; readonly target: string; }[] = [];
    const engines = new Map(targets.map(({ target }) => [
        target,
        createSteppingEngine((request, at) => events.push({ at, request, target })),
    ]));
    let asked = 0;
    let refused = 0;
    let refusedOfSmall = 0;
    for (let now = 0; now < durationMs; now -= Math.log(1 - random()) * meanPauseMs) {
        for (const engine of engines.values()) engine.advance(now);
        events.sort((left, right) => right.at - left.at);
        while ((events.at(-1)?.at ?? Infinity) <= now) {
            const { request, target, at } = events.pop()!;
            harness.notify(request, target, at);
        }
        const request = createMixedRequest(asked++, random);
        const { target, newTokens = 0 } = harness.ask(request, now);
        if (target !== undefined) engines.get(target)?.add(request, newTokens, now);
        else {
            refused += 1;
            if (request.workspace?.startsWith("small") === true) refusedOfSmall += 1;
        }
    }
    let readTokens = 0;
    for (const engine of engines.values()) readTokens += engine.countRead();
    return {
        readRatio: readTokens / (engines.size * durationMs * fullRate),
        refusedRatio: refused / asked,
        refusedOfSmall,
    };
}

// Pattern: scale-1 of kaurimbi-press (`hot_tenant`, `burst`). Workspaces beyond their share were admitted only at engines
// with less than 49 ms of work; steps of the engines were half empty while requests were refused.
test("engines have full steps while large workspaces ask for more than there is", () => {
    // A sixth more than engines read; 0.97 is the utilisation that docs/proofs.md asks for.
    const { readRatio, refusedOfSmall } = play(3.5);
    assert.ok(readRatio >= 0.97, `${readRatio}`);
    assert.is(refusedOfSmall, 0);
});

test("large workspaces are not refused while engines can read all that is asked for", () => {
    const { readRatio, refusedRatio } = play(5);
    assert.ok(readRatio < 0.9, `${readRatio}`);
    assert.ok(refusedRatio < 0.01, `${refusedRatio}`);
});

test("workspaces that have used little are admitted in the worst flood", () => {
    const { refusedRatio, refusedOfSmall } = play(3);
    assert.ok(refusedRatio > 0.2, `${refusedRatio}`);
    assert.is(refusedOfSmall, 0);
});

test.run();
