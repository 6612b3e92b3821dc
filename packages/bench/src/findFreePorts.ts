import { randomInt } from "node:crypto";
import { createServer } from "node:net";
import type { Server } from "node:net";

/** Ports below those that the kernel gives to outgoing connections, which could take a free port before its process. */
const portRange = { first: 20_000, end: 32_000 } as const;

const maxTriesPerPort = 100;

/** Finds `count` distinct free TCP ports on loopback, for processes that need each other's ports before they start. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = new Map<number, Server>();
    for (let tries = 0; servers.size < count; tries++) {
        if (tries >= count * maxTriesPerPort) throw new Error(`fewer than ${count} ports are free on loopback`);
        const port = randomInt(portRange.first, portRange.end);
        const server = servers.has(port) ? undefined : await tryListen(port);
        if (server !== undefined) servers.set(port, server);
    }
    await Promise.all([...servers.values()].map(server => new Promise(resolve => server.close(resolve))));
    return [...servers.keys()];
}

/** Returns `undefined` if the port is in use. */
function tryListen(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
