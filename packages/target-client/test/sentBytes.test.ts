/** Guards against a call that is reported as not sent although bytes of it were sent, and against one sent twice. */
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall, runCall, withClient } from "./callFixtures.js";
import { startRawTarget } from "./rawTarget.js";

const order = { kind: "plain", body: { orderId: "o1" } } as const;
const response = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nconnection: keep-alive\r\n\r\ndone";

for (const idempotent of [false, true]) {
    test(`refused connection, idempotent ${idempotent}: not sent`, async () => {
        const target = await startRawTarget(() => undefined);
        await target.close();
        const { end } = await withClient(client =>
            runCall(client, createCall({ ...order, idempotent }), target.address)
        );
        assert.equal(
            { ...end },
            {
                result: "refused",
                sent: false,
                responseStarted: false,
                cost: 0,
                startId: undefined,
                reason: "ECONNREFUSED",
            },
        );
        assert.equal(target.received, []);
    });

    test(`cancelled before the connection is established, idempotent ${idempotent}: not sent`, async () => {
        const target = await startRawTarget(socket => socket.end(response));
        const call = createCall({ ...order, idempotent });
        const end = await withClient(async client => {
            const ended = await runCall(client, call, target.address, {}, attempt => attempt.cancel());
            // Completing a second call gives the target time to receive bytes of the first.
            await runCall(client, createCall({ ...order, id: "call-2", idempotent }), target.address);
            return ended.end;
        });
        await target.close();
        assert.equal([end.result, end.sent, end.reason], ["refused", false, "cancelled"]);
        assert.not(target.received.join("").includes("x-request-id: call-1"));
    });

    test(`cancelled after the call was sent, idempotent ${idempotent}: broken`, async () => {
        const call = createCall({ ...order, idempotent });
        const { end } = await withClient(async client => {
            let cancel: (() => void) | undefined;
            const target = await startRawTarget(() => cancel?.());
            const ended = await runCall(client, call, target.address, {}, attempt => (cancel = attempt.cancel));
            await target.close();
            return ended;
        });
        assert.equal([end.result, end.sent, end.responseStarted], ["broken", true, false]);
    });
}

test("an invalid header or address is refused before any byte is sent", async () => {
    const target = await startRawTarget(() => undefined);
    const call = createCall({ ...order, idempotent: false, headers: { "x-bad": "a\r\nb: c" } });
    const { end } = await withClient(client => runCall(client, call, target.address));
    await target.close();
    assert.equal([end.result, end.sent], ["refused", false]);
    assert.is(target.received.join(""), "");
    for (const address of ["ftp://127.0.0.1", "127.0.0.1"]) {
        const unsent = (await withClient(client => runCall(client, createCall(order), address))).end;
        assert.equal([unsent.result, unsent.sent], ["refused", false], address);
    }
});

test("a non-idempotent call never uses a connection that the target may have closed", async () => {
    const target = await startRawTarget(socket => socket.write(response));
    await withClient(async client => {
        for (const idempotent of [true, false, true, false]) {
            const call = createCall({ ...order, idempotent });
            assert.is((await runCall(client, call, target.address)).end.result, "complete");
            // undici reuses a connection only after an event loop turn.
            await sleep(5);
        }
    });
    await target.close();
    const counts = target.received.map(bytes => [bytes.split("POST ").length - 1, bytes.includes("connection: close")]);
    assert.equal(
        counts,
        [[2, false], [1, true], [1, true]],
        "idempotent calls share a connection, each of the others has its own",
    );
});

test("a call on a reused connection that the target closes is broken, not refused, and not sent again", async () => {
    const target = await startRawTarget((socket, _request, number) => {
        if (number === 1) socket.write(response);
        else socket.destroy();
    });
    const end = await withClient(async client => {
        await runCall(client, createCall({ ...order, idempotent: true }), target.address);
        return (await runCall(client, createCall({ ...order, id: "call-2", idempotent: true }), target.address)).end;
    });
    await target.close();
    assert.equal([end.result, end.sent, end.responseStarted], ["broken", true, false]);
    assert.is(target.received.join("").split("x-request-id: call-2.1").length - 1, 1);
});

test("headers that only routers may set are not copied from callers", async () => {
    const target = await startRawTarget(socket => socket.end(response));
    const headers = { "x-resume": "other;3", "x-request-id": "other", "transfer-encoding": "chunked", "x-kept": "yes" };
    await withClient(client => runCall(client, createCall({ ...order, headers }), target.address));
    await target.close();
    const received = target.received.join("").toLowerCase();
    assert.not(received.includes("other") || received.includes("chunked"));
    assert.ok(received.includes("x-kept: yes") && received.includes("x-request-id: call-1.1"));
});

test.run();
