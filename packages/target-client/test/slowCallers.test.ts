/** Callers that read slowly, at targets that end or reset their connections. */
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

const body = "r".repeat(3_000_000);
const callsPerRound = 12;

type Ending = "close" | "kept" | "reset";

function respond(socket: Socket, ending: Ending): void {
    const connection = ending === "close" ? "Connection: close\r\n" : "";
    const response = `HTTP/1.1 200 OK\r\n${connection}content-length: ${body.length}\r\n\r\n${body}`;
    if (ending === "kept") return void socket.write(response);
    if (ending === "close") return void socket.end(response);
    socket.write(response.slice(0, -1_000_000), () => setTimeout(() => socket.resetAndDestroy(), 50));
}

for (const ending of ["close", "kept", "reset"] as const) {
    for (const idempotent of [false, true]) {
        // Guards against an assertion of undici that ends the process, with all calls in it.
        test(`a slow caller, ${ending}, ${idempotent ? "idempotent" : "non-idempotent"} call`, async () => {
            const target = await startRawTarget(socket => respond(socket, ending));
            await withClient(async client => {
                for (let round = 0; round < 3; round++) {
                    const ends = await Promise.all(Array.from({ length: callsPerRound }, async (_, index) => {
                        let bytes = 0;
                        const responder = {
                            write: (chunk: Uint8Array) => {
                                bytes += chunk.length;
                                return false;
                            },
                            waitForDrain: () => new Promise<void>(resolve => setTimeout(resolve, 2)),
                        };
                        const id = `call-${round}-${index}`;
                        const call = createCall({ id, kind: "plain", idempotent }, responder);
                        const { end } = await runCall(client, call, target.address);
                        return { result: end.result, isWhole: bytes === body.length };
                    }));
                    const expected = ending === "reset"
                        ? { result: "broken", isWhole: false }
                        : { result: "complete", isWhole: true };
                    assert.equal(ends, Array.from({ length: callsPerRound }, () => expected));
                }
            });
            await target.close();
        });
    }
}

test.run();
