/** A platform store with faults, on the clock of the fake fleet. */
import type { Effect } from "@rhubarbwheel/types/effects";
import type { HostEntry, Resource, ResourceKind } from "@rhubarbwheel/types/resources";

import type { Happening } from "./createFakeFleet.js";

export type StoreMode = "up" | "down" | "hung" | "slow" | "answerLost";

export interface StoreCall {
    readonly effect: Effect;
    readonly mode: StoreMode;
    readonly requestSentAt: number;
    readonly reply: (delayMs: number, happening: Happening) => void;
}

export function createFakeStore(hosts: HostEntry[], getTime: () => number) {
    const resources = new Map<string, Resource>();
    const calls = { readConfiguration: 0, watchConfiguration: 0, listHosts: 0 };
    let watches: { readonly answer: () => void; readonly deadline: number; }[] = [];
    let revision = 0;

    const answerChanges = ({ effect, mode, requestSentAt, reply }: StoreCall) => {
        const fromRevision = effect.type === "watchConfiguration" ? effect.afterRevision : 0;
        const changes = [...resources.values()].filter(resource => resource.revision > fromRevision);
        const type = effect.type === "readConfiguration" ? "configurationRead" : "configurationChanged";
        reply(mode === "slow" ? 1_500 : 1, { type, fromRevision, revision, resources: changes, requestSentAt });
    };

    const call = (request: StoreCall) => {
        const { effect, mode, reply } = request;
        if (!(effect.type in calls)) return;
        const name = effect.type as keyof typeof calls;
        calls[name] += 1;
        const timeoutMs = effect.type === "watchConfiguration" ? effect.timeoutMs : 0;
        const failureDelays = { down: 2, hung: timeoutMs + 1_000, answerLost: timeoutMs + 500 };
        if (mode !== "up" && mode !== "slow")
            reply(failureDelays[mode], { type: "platformUnavailable", call: name });
        else if (name === "listHosts") reply(mode === "slow" ? 1_500 : 1, { type: "hostsListed", hosts: [...hosts] });
        else if (effect.type === "watchConfiguration" && revision <= effect.afterRevision && timeoutMs > 0)
            watches.push({ answer: () => answerChanges(request), deadline: getTime() + timeoutMs });
        else answerChanges(request);
    };

    const answerWatches = (isDue: (deadline: number) => boolean) => {
        watches.filter(watch => isDue(watch.deadline)).forEach(watch => watch.answer());
        watches = watches.filter(watch => !isDue(watch.deadline));
    };

    const accept = (kind: ResourceKind, name: string, spec: object, deleted?: boolean): Resource => {
        revision += 1;
        const version = (resources.get(`${kind}/${name}`)?.version ?? 0) + 1;
        const resource = { kind, name, version, revision, spec, deleted } as Resource;
        resources.set(`${kind}/${name}`, resource);
        answerWatches(() => true);
        return resource;
    };

    return { hosts, calls, call, accept, expire: () => answerWatches(deadline => deadline <= getTime()) };
}
