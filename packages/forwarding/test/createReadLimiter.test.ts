/** Responses in short pieces at several connections to one target: how much of them is handled at once. */
import { type AddressInfo, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createConnectionPool } from "../src/createConnectionPool.js";

const connectionCount = 10;

/** The limit of a pass, the free pieces and one slice of each connection. */
const maxPiecesPerPass = 500 + connectionCount * (256 + 2_048 / 6);

interface Received {
    readonly bytes: number;
    readonly mostPiecesPerPass: number;
}

async function receiveAll(response: string): Promise<Received> {
    const server = createServer(socket => void socket.once("data", () => socket.write(response)));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const pool = createConnectionPool({
        getNow: () => performance.now(),
        connectTimeoutMs: 1_000,
        maxIdlePerTarget: 1,
    });
    let pieces = 0;
    let mostPiecesPerPass = 0;
    let bytes = 0;
    const receive = (): Promise<void> =>
        new Promise((resolve, reject) => {
            const connection = pool.acquire(address, false);
            connection.client.dispatch({ path: "/", method: "GET" }, {
                onRequestStart: () => undefined,
                onResponseStart: () => undefined,
                onResponseData: (_controller, chunk) => {
                    if (pieces === 0) {
                        setImmediate(() => {
                            mostPiecesPerPass = Math.max(mostPiecesPerPass, pieces);
                            pieces = 0;
                        });
                    }
                    pieces += 1;
                    bytes += chunk.length;
                    connection.body.pieces += 1;
                    connection.body.bytes += chunk.length;
                },
                onResponseEnd: () => {
                    pool.destroy(connection);
                    resolve();
                },
                onResponseError: (_controller, error) => reject(error),
            });
        });
    await Promise.all(Array.from({ length: connectionCount }, receive));
    server.close();
    return { bytes, mostPiecesPerPass };
}

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

const cases = [[1, 20_000], [16, 20_000], [64, 20_000], [40_000, 100]] as const;

for (const [chunkBytes, chunkCount] of cases) {
    // Guards against LOST: one target takes the time of all others, or a limited response is not read to its end.
    test(`chunks of ${chunkBytes} bytes: a bounded number in each pass, and all of them`, async () => {
        const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
        const trailers = "X: y\r\n".repeat(1_000);
        const { bytes, mostPiecesPerPass } = await receiveAll(
            `${head}\r\n${chunk.repeat(chunkCount)}0\r\n${trailers}\r\n`,
        );
        assert.is(bytes, chunkBytes * chunkCount * connectionCount);
        assert.ok(mostPiecesPerPass < maxPiecesPerPass, `${mostPiecesPerPass} pieces in one pass`);
    });
}

test.run();
