/** Queries of the configuration slice for other parts of the router. */
import type { ResourceKind, ResourceOf } from "@rhubarbwheel/types/resources";

/** Queries of this slice that `ConfigurationQueries` does not have. */
export interface ResourceQueries {
    /** Lists the resources of a kind that are not deleted, sorted by name. */
    readonly listResources: <K extends ResourceKind>(kind: K) => readonly ResourceOf<K>[];
    /** Greatest store revision up to which this router holds every change. */
    readonly getRevision: () => number;
    /** Lists the latest revision that each other router has reported, with the time of the report. */
    readonly listPeerRevisions: () => readonly PeerRevision[];
}

export interface PeerRevision {
    readonly router: string;
    readonly revision: number;
    readonly heardAt: number;
}
