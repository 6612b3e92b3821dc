/** Operator writes and watches: an accepted write takes effect at this router at once. */
import type { ResourceQueries } from "@rhubarbwheel/configuration/createConfiguration";
import type { PlatformClient, ResourceWrite, WriteResult } from "@rhubarbwheel/types/ports";
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import type { Dispatch } from "./createLoop.js";

export interface OperatorStoreOptions {
    readonly dispatch: Dispatch;
    readonly platformClient: PlatformClient;
    readonly configuration: Pick<ResourceQueries, "listResources">;
    readonly getNow: () => number;
}

const kinds: readonly ResourceKind[] = ["workspaces", "services", "failuredomains"];
const watchTimeoutMs = 5_000;
const retryDelayMs = 1_000;

export function createOperatorStore(opts: OperatorStoreOptions) {
    const { dispatch, platformClient } = opts;

    const writeResource = async (write: ResourceWrite): Promise<WriteResult> => {
        const askedAt = opts.getNow();
        const result = await platformClient.writeResource(write);
        if (result.type === "accepted") {
            const { resource } = result;
            const { revision } = resource;
            const fromRevision = revision - 1;
            const resources = [resource];
            dispatch({ type: "configurationChanged", fromRevision, revision, resources, askedAt, ownWrite: true });
        }
        return result;
    };

    /** Watches the store itself, so that an operator sees every change in order. */
    const watchResources = (afterRevision: number, onChange: (resource: Resource) => void) => {
        let stopped = false;
        const watch = async () => {
            let revision = afterRevision;
            while (!stopped) {
                const result = await platformClient.watchConfiguration(revision, watchTimeoutMs);
                if (stopped) return;
                if (result.type === "unavailable") await new Promise(resolve => setTimeout(resolve, retryDelayMs));
                if (result.type === "revisionGone") {
                    for (const kind of kinds)
                        opts.configuration.listResources(kind).forEach(held => onChange(held as Resource));
                    revision = 0;
                }
                if (result.type !== "changed") continue;
                result.list.resources.forEach(onChange);
                revision = Math.max(revision, result.list.revision);
            }
        };
        void watch();
        return () => {
            stopped = true;
        };
    };

    return { writeResource, watchResources };
}
