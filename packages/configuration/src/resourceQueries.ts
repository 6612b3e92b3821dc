/** What other parts of the router may ask the configuration slice. */
import type { ResourceKind, ResourceOf } from "@rhubarbwheel/types/resources";

/** Queries of this slice beyond the shared contract. */
export interface ResourceQueries {
    /** Lists the resources of a kind that are not deleted, sorted by name. */
    readonly listResources: <K extends ResourceKind>(kind: K) => readonly ResourceOf<K>[];
    /** Greatest store revision up to which this router holds every change. */
    readonly getRevision: () => number;
    /** Revisions that other routers last reported, with the time at which they were heard. */
    readonly listPeerRevisions: () => readonly PeerRevision[];
}

export interface PeerRevision {
    readonly router: string;
    readonly revision: number;
    readonly heardAt: number;
}
