/** Guards against routers that exceed the limit of a cold target when callers disconnect. */
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startTestFleet } from "./testFleet.js";

const rounds = 6;
const callsPerRouter = 12;

test("streams whose callers disconnect do not push a cold target over its limit", async () => {
    const fleet = await startTestFleet();
    try {
        await Promise.all([fleet.sendChat(0), fleet.sendChat(1)]);
        for (let round = 0; round < rounds; round++) {
            await Promise.all(
                [0, 1, 2].flatMap(index =>
                    Array.from(
                        { length: callsPerRouter },
                        () => fleet.sendChat(index, { maxTokens: 500, timeoutMs: 150 }),
                    )
                ),
            );
            await sleep(300);
        }
        const readAllStats = () => Promise.all(["khomas-a", "khomas-b"].map(fleet.readStats)).then(list => list.flat());
        // A target that crashed under overload refuses connections for 1 s.
        await sleep(1_500);
        assert.equal((await readAllStats()).map(({ fellOver }) => fellOver), [0, 0, 0, 0]);
    }
    finally {
        await fleet.stop();
    }
});

test.run();
