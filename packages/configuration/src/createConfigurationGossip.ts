/** Spread of changes between routers: pushed on first receipt, repaired from the revisions in digests. */
import type { ConfigurationUpdateMessage, PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { Resource } from "@rhubarbwheel/types/resources";
import type { Member } from "@rhubarbwheel/types/slices";

import { maxResourcesPerUpdate, maxUpdateBytes, pushFanout, requestTimeoutMs } from "./configurationSettings.js";

export interface ConfigurationGossip {
    /** Sends changes to a few random peers. */
    readonly push: (update: UpdateRange, except: string | undefined) => void;
    /** Answers a request with every change after `fromRevision`. */
    readonly answer: (router: string, update: UpdateRange) => void;
    /** Asks the peer for the changes that this router misses, unless a request is outstanding. */
    readonly request: (router: string, revision: number, now: number) => void;
    /** Asks the peer for the names of leaving targets, and for missing changes. */
    readonly requestLeaving: (router: string, revision: number, leavingHash: number, now: number) => void;
    /** Allows the next request at once. */
    readonly endRequest: () => void;
}

/** `resources` complete the range from `fromRevision` to `revision`. */
export type UpdateRange = Pick<
    ConfigurationUpdateMessage,
    "resources" | "fromRevision" | "revision" | "leavingTargets"
>;

export interface ConfigurationGossipOptions {
    readonly self: string;
    readonly random: () => number;
    readonly listRoutable: () => readonly Member[];
    readonly getMember: (router: string) => Member | undefined;
    readonly sendUpdate: (to: Member, update: UpdateRange) => void;
    readonly send: (to: Member, message: PeerMessage) => void;
}

/** Splits a range so that no part is over the bounds. Each part continues where the one before it ends. */
export function splitUpdate(update: UpdateRange): readonly UpdateRange[] {
    const parts: UpdateRange[] = [];
    let resources: Resource[] = [];
    let size = 0;
    let { fromRevision } = update;
    for (const resource of update.resources) {
        const isFull = resources.length >= maxResourcesPerUpdate || size >= maxUpdateBytes;
        const last = resources.at(-1)?.revision ?? fromRevision;
        if (isFull && resource.revision > last && last <= update.revision) {
            parts.push({ resources, fromRevision, revision: last });
            resources = [];
            size = 0;
            fromRevision = last;
        }
        resources.push(resource);
        size += JSON.stringify(resource).length;
    }
    return [...parts, { ...update, resources, fromRevision }];
}

export function createConfigurationGossip(opts: ConfigurationGossipOptions): ConfigurationGossip {
    let requestedAt = -Infinity;
    let leavingRequestedAt = -Infinity;

    const choosePeers = (except: string | undefined): readonly Member[] => {
        const routable = opts.listRoutable();
        const peers = new Set<Member>();
        // A bounded number of draws instead of a shuffled copy keeps the cost independent of the fleet.
        for (let draw = 0; draw < 4 * pushFanout && peers.size < pushFanout; draw++) {
            const peer = routable[Math.floor(opts.random() * routable.length)];
            if (peer !== undefined && peer.router !== opts.self && peer.router !== except) peers.add(peer);
        }
        return [...peers];
    };

    return {
        push: (update, except) => {
            const parts = splitUpdate(update);
            for (const peer of choosePeers(except)) parts.forEach(part => opts.sendUpdate(peer, part));
        },
        answer: (router, update) => {
            const member = opts.getMember(router);
            if (member !== undefined) splitUpdate(update).forEach(part => opts.sendUpdate(member, part));
        },
        request: (router, revision, now) => {
            const member = opts.getMember(router);
            if (member === undefined || now - requestedAt < requestTimeoutMs) return;
            requestedAt = now;
            opts.send(member, { type: "configurationRequest", revision });
        },
        requestLeaving: (router, revision, leavingHash, now) => {
            const member = opts.getMember(router);
            if (member === undefined || now - leavingRequestedAt < requestTimeoutMs) return;
            leavingRequestedAt = now;
            opts.send(member, { type: "configurationRequest", revision, leavingHash });
        },
        endRequest: () => void (requestedAt = -Infinity),
    };
}
