/** Gossip of configuration changes: pushes each on first receipt, and repairs gaps from the revisions in digests. */
import type { ConfigurationUpdateMessage, PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { Resource } from "@rhubarbwheel/types/resources";
import type { Member } from "@rhubarbwheel/types/slices";

import { maxResourcesPerUpdate, maxUpdateBytes, pushFanout, requestTimeoutMs } from "./configurationSettings.js";

export interface ConfigurationGossip {
    /** Sends changes to a few random peers. */
    readonly push: (update: UpdateRange, except: string | undefined) => void;
    /** Replies to a request with the range of changes. */
    readonly reply: (router: string, update: UpdateRange) => void;
    /** Requests missing changes from the peer, unless a request is outstanding. */
    readonly request: (router: string, revision: number, now: number) => void;
    /** Requests the names of leaving targets and missing changes from the peer. */
    readonly requestLeaving: (router: string, revision: number, leavingHash: number, now: number) => void;
    /** Ends the outstanding request, so that the next one can be sent at once. */
    readonly endRequest: () => void;
}

/** `resources` are all changes after `fromRevision` up to `revision`. */
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

/** Splits a range so that each part stays within the limits and continues where the previous one ends. */
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
        // A bounded number of random picks, rather than a shuffled copy, makes the cost independent of the fleet size.
        for (let pick = 0; pick < 4 * pushFanout && peers.size < pushFanout; pick++) {
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
        reply: (router, update) => {
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
