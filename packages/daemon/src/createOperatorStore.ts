/** Writes and watches for operators. An accepted write is applied to this router immediately. */
import type { PlatformClient, ResourceList, ResourceWrite, WriteResult } from "@rhubarbwheel/types/ports";
import type { Resource } from "@rhubarbwheel/types/resources";
import type { Dispatch } from "./createEventLoop.js";

export interface OperatorStoreOptions {
    readonly dispatch: Dispatch;
    readonly platformClient: Pick<PlatformClient, "readConfiguration" | "watchConfiguration" | "writeResource">;
    readonly getNow: () => number;
}

const watchTimeoutMs = 5_000;
const retryDelayMs = 1_000;

export function createOperatorStore(opts: OperatorStoreOptions) {
    const { dispatch, platformClient } = opts;

    const writeResource = async (write: ResourceWrite): Promise<WriteResult> => {
        const requestSentAt = opts.getNow();
        const result = await platformClient.writeResource(write);
        if (result.type === "accepted") {
            const { resource } = result;
            const { revision } = resource;
            const fromRevision = revision - 1;
            const resources = [resource];
            dispatch({
                type: "configurationChanged",
                fromRevision,
                revision,
                resources,
                requestSentAt,
                ownWrite: true,
            });
        }
        return result;
    };

    /** Lists everything again if the store has compacted the revision from which the watch continues. */
    const relist = async (reason: "unavailable" | "revisionGone"): Promise<ResourceList | undefined> => {
        if (reason === "unavailable") return undefined;
        const read = await platformClient.readConfiguration();
        return read.type === "read" ? read.value : undefined;
    };

    /** Watches the store instead of this router's configuration, so that an operator gets every change in order. */
    const watchResources = (afterRevision: number, onChange: (resource: Resource) => void) => {
        let stopped = false;
        const watch = async () => {
            let revision = afterRevision;
            while (!stopped) {
                const result = await platformClient.watchConfiguration(revision, watchTimeoutMs);
                if (stopped) return;
                const list = result.type === "changed" ? result.list : await relist(result.type);
                if (stopped) return;
                if (list === undefined) {
                    await new Promise(resolve => setTimeout(resolve, retryDelayMs));
                    continue;
                }
                list.resources.forEach(onChange);
                revision = Math.max(revision, list.revision);
            }
        };
        void watch();
        return () => {
            stopped = true;
        };
    };

    return { writeResource, watchResources };
}
