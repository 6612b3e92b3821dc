import { createConfiguration } from "@rhubarbwheel/configuration/createConfiguration";
import { createMembership } from "@rhubarbwheel/membership/createMembership";
import { createFakeFleet } from "@rhubarbwheel/membership/test/createFakeFleet";
import type { RouterIdentity } from "@rhubarbwheel/types/slices";

/** Connects the two slices through their queries, as the daemon does. */
export function createRouterSlices(
    identity: RouterIdentity,
    seeds: readonly RouterIdentity[],
    random: () => number,
) {
    const membership = createMembership({ identity, seeds, random, getDigest: now => configuration.getDigest(now) });
    const configuration: ReturnType<typeof createConfiguration> = createConfiguration({ identity, membership, random });
    return { membership, configuration };
}

export type RouterSlices = ReturnType<typeof createRouterSlices>;

export function createFleet(seed: number, count: number, domains: number) {
    return createFakeFleet<RouterSlices>(seed, count, domains, {
        createSlices: createRouterSlices,
        list: ({ membership, configuration }) => [membership, configuration],
    });
}
