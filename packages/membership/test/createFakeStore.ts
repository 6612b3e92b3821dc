/** Simulated platform store with fault injection, on the clock of the fake fleet. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { HostEntry, Resource, ResourceKind } from "@rhubarbwheel/types/resources";

import type { UntimedEvent } from "./createFakeFleet.js";

export type StoreMode = "up" | "down" | "hung" | "slow" | "responseLost";

export interface StoreRequest {
    readonly effect: Effect;
    readonly mode: StoreMode;
    readonly requestSentAt: number;
    readonly respond: (delayMs: number, event: UntimedEvent) => void;
}

export function createFakeStore(hosts: HostEntry[], getTime: () => number) {
    const resources = new Map<string, Resource>();
    const requestCounts = { readConfiguration: 0, watchConfiguration: 0, listHosts: 0 };
    let watches: { readonly respond: () => void; readonly deadline: number; }[] = [];
    let revision = 0;

    const respondWithChanges = ({ effect, mode, requestSentAt, respond }: StoreRequest) => {
        const fromRevision = effect.type === "watchConfiguration" ? effect.afterRevision : 0;
        const changes = [...resources.values()].filter(resource => resource.revision > fromRevision);
        const type = effect.type === "readConfiguration" ? "configurationRead" : "configurationChanged";
        respond(mode === "slow" ? 1_500 : 1, { type, fromRevision, revision, resources: changes, requestSentAt });
    };

    const handleRequest = (request: StoreRequest) => {
        const { effect, mode, respond } = request;
        if (!(effect.type in requestCounts)) return;
        const name = effect.type as keyof typeof requestCounts;
        requestCounts[name] += 1;
        const timeoutMs = effect.type === "watchConfiguration" ? effect.timeoutMs : 0;
        const failureDelays = { down: 2, hung: timeoutMs + 1_000, responseLost: timeoutMs + 500 };
        if (mode !== "up" && mode !== "slow")
            respond(failureDelays[mode], { type: "platformUnavailable", call: name });
        else if (name === "listHosts") respond(mode === "slow" ? 1_500 : 1, { type: "hostsListed", hosts: [...hosts] });
        else if (effect.type === "watchConfiguration" && revision <= effect.afterRevision && timeoutMs > 0)
            watches.push({ respond: () => respondWithChanges(request), deadline: getTime() + timeoutMs });
        else respondWithChanges(request);
    };

    const respondToWatches = (isDue: (deadline: number) => boolean) => {
        watches.filter(watch => isDue(watch.deadline)).forEach(watch => watch.respond());
        watches = watches.filter(watch => !isDue(watch.deadline));
    };

    const accept = (kind: ResourceKind, name: string, spec: object, deleted?: boolean): Resource => {
        revision += 1;
        const version = (resources.get(`${kind}/${name}`)?.version ?? 0) + 1;
        const resource = { kind, name, version, revision, spec, deleted } as Resource;
        resources.set(`${kind}/${name}`, resource);
        respondToWatches(() => true);
        return resource;
    };

    return {
        hosts,
        requestCounts,
        handleRequest,
        accept,
        expire: () => respondToWatches(deadline => deadline <= getTime()),
    };
}
