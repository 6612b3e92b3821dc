/** A platform stand-in with two clients, which are closed even if the test fails. */
import { createPlatformStandIn } from "@rhubarbwheel/stand-ins/createPlatformStandIn";
import type { PlatformStandIn, PlatformStandInOptions } from "@rhubarbwheel/stand-ins/createPlatformStandIn";
import type { PlatformClient } from "@rhubarbwheel/types/ports";
import { createPlatformClient } from "../src/createPlatformClient.js";
import type { PlatformClientOptions } from "../src/createPlatformClient.js";

export interface PlatformSetup {
    readonly client: PlatformClient;
    /** Client of another router. */
    readonly other: PlatformClient;
    readonly platform: PlatformStandIn;
    readonly address: string;
}

export interface SetupOptions extends PlatformStandInOptions {
    readonly client?: Partial<PlatformClientOptions>;
}

export async function withPlatform(opts: SetupOptions, use: (setup: PlatformSetup) => Promise<void>): Promise<void> {
    const platform = createPlatformStandIn({ seed: 7, ...opts });
    const { port } = await platform.listen(0);
    const address = `http://127.0.0.1:${port}`;
    let writes = 0;
    const createWriteId = () => `write-${writes += 1}`;
    const clientOptions = { addresses: [address], timeoutMs: 1_000, createWriteId, retryDelayMs: 1, ...opts.client };
    const client = createPlatformClient(clientOptions);
    const other = createPlatformClient(clientOptions);
    try {
        await use({ client, other, platform, address });
    }
    finally {
        await Promise.all([client.close(), other.close()]);
        await platform.close();
    }
}
