/** Binds a TCP or HTTP server. */
import type { Server } from "node:net";
import { splitAddress } from "./splitAddress.js";

/** Resolves when `server` listens at `address`, `ip:port`; rejects with the error of the operating system. */
export function listenAt(server: Server, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(splitAddress(address), () => {
            server.off("error", reject);
            resolve();
        });
    });
}
