import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Finds `count` distinct free TCP ports on loopback, for processes that need each other's ports before they start. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function listenOnFreePort() {
    return new Promise<ReturnType<typeof createServer>>(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
