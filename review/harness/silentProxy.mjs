/** TCP proxy whose open connections can go silent for good, without a reset, while new ones work. */
import { connect, createServer } from "node:net";

export function startSilentProxy(host, targetAddress) {
    const [targetHost, targetPort] = targetAddress.split(":");
    const sockets = new Set();
    /** Pairs of sockets whose bytes are still passed on. */
    let open = new Set();

    const server = createServer(client => {
        const upstream = connect(Number(targetPort), targetHost);
        const pair = { client, upstream };
        open.add(pair);
        const link = (from, to) => {
            sockets.add(from);
            from.on("error", () => undefined);
            from.on("data", data => {
                if (open.has(pair)) to.write(data);
            });
            from.once("close", () => {
                sockets.delete(from);
                if (open.has(pair)) to.destroy();
            });
        };
        link(client, upstream);
        link(upstream, client);
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () =>
            resolve({
                address: `${host}:${server.address().port}`,
                /** Passes on nothing more on the connections that are open now; returns their number. */
                silence: () => {
                    const { size } = open;
                    open = new Set();
                    return size;
                },
                close: () => {
                    for (const socket of sockets) socket.destroy();
                    return new Promise(resolveClose => server.close(() => resolveClose()));
                },
            }));
    });
}
