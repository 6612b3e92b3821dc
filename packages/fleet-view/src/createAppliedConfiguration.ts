/** The configuration in force, which never goes back to an earlier version, whatever the store lists. */
import { createRouteTable } from "@rhubarbwheel/routing/createRouteTable";
import type { RouteTable } from "@rhubarbwheel/routing/createRouteTable";
import type { LogEffect } from "@rhubarbwheel/types/effects";
import type { FleetConfiguration, PoolSpec } from "@rhubarbwheel/types/fleet";
import type { ViewChangedEvent, ViewListedEvent } from "@rhubarbwheel/types/view-events";

export interface AppliedConfigurationOptions {
    readonly log: (event: "configurationApplied" | "configurationIgnored", fields: LogEffect["fields"]) => void;
}

/** What was known of the kind before an event. */
export interface PreviousConfirmation {
    readonly revision: number;
    readonly confirmedAt: number;
}

export function createAppliedConfiguration(opts: AppliedConfigurationOptions) {
    let configuration: FleetConfiguration | undefined;
    let routes: RouteTable | undefined;
    let pools = new Map<string, PoolSpec>();

    return {
        apply: (
            next: FleetConfiguration,
            { era, revision, confirmedAt, relay, now }: ViewListedEvent | ViewChangedEvent,
            previous: PreviousConfirmation,
        ): void => {
            const { version } = next;
            if (configuration !== undefined && version <= configuration.version) {
                const inForce = configuration.version;
                if (version < inForce) opts.log("configurationIgnored", { version, inForce, era, revision });
                return;
            }
            const ageMs = now - Math.max(confirmedAt, previous.confirmedAt);
            configuration = next;
            routes = createRouteTable(next);
            pools = new Map(next.pools.map(pool => [pool.service, pool]));
            opts.log("configurationApplied", {
                version,
                era,
                revision,
                previousRevision: previous.revision,
                relay,
                ageMs: ageMs === Infinity ? undefined : Math.round(ageMs),
                routes: next.routes.length,
                services: next.pools.length,
                workspaces: next.workspaces?.length,
            });
        },
        get: () => configuration,
        getRoutes: () => routes,
        getPool: (service: string) => pools.get(service),
    };
}
