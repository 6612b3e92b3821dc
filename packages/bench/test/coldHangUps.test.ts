/** Guards against a cold target that gets more streams than it can handle because callers hang up. */
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startTestFleet } from "./testFleet.js";

const rounds = 6;
const callsPerRouter = 12;

test("streams whose callers hang up do not push a cold target over its limit", async () => {
    const fleet = await startTestFleet();
    try {
        await Promise.all([fleet.sendChat(0), fleet.sendChat(1)]);
        for (let round = 0; round < rounds; round++) {
            await Promise.all(
                [0, 1, 2].flatMap(index =>
                    Array.from(
                        { length: callsPerRouter },
                        () => fleet.sendChat(index, { maxTokens: 500, patienceMs: 150 }),
                    )
                ),
            );
            await sleep(300);
        }
        const isUp = () => Promise.all(["khomas-a", "khomas-b"].map(fleet.readStats)).then(list => list.flat());
        // A target that fell over refuses connections for 1 s.
        await sleep(1_500);
        assert.equal((await isUp()).map(({ fellOver }) => fellOver), [0, 0, 0, 0]);
    }
    finally {
        await fleet.stop();
    }
});

test.run();
