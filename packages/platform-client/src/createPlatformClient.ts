/** Client of the platform's object API. */
import type { PlatformClient, ReadResult, ResourceList, ResourceWrite, WriteResult } from "@rhubarbwheel/types/ports";
import type { Resource, ResourceKind, ResourceOf } from "@rhubarbwheel/types/resources";
import { createHash } from "node:crypto";
import { createLeaseClient } from "./createLeaseClient.js";
import { createObjectClient } from "./createObjectClient.js";
import { createPlatformTransport } from "./createPlatformTransport.js";
import { convertToResource, convertToResources, parseHosts, parseObjectList } from "./parsePlatformResponse.js";

export interface PlatformClientOptions {
    /** Base URLs of the object API, all of the same store. */
    readonly addresses: readonly string[];
    /** Timeout of one request to the store. */
    readonly timeoutMs: number;
    /** Returns an id that is unique among all writes of the fleet. */
    readonly createWriteId: () => string;
    /** Monotonic time in milliseconds, default `performance.now`. */
    readonly getNow?: () => number;
    /** Maximum number of times that a write is sent while its outcome is unknown, default 4. */
    readonly maxTries?: number;
    /** Backoff before a write is sent again, doubled each time, default 20 ms. */
    readonly retryDelayMs?: number;
}

const resourceKinds: readonly ResourceKind[] = ["workspaces", "services", "failuredomains"];
const keyBindingKind = "idempotencykeys";

/** Returns the name of the object that binds a caller's key; the key may contain characters that names may not. */
function computeBindingName(workspace: string, callerKey: string): string {
    return createHash("sha256").update(JSON.stringify([workspace, callerKey])).digest("hex");
}

function parseBinding(value: unknown): string | undefined {
    const { mintedKey } = (value ?? {}) as { readonly mintedKey?: unknown; };
    return typeof mintedKey === "string" && mintedKey !== "" ? mintedKey : undefined;
}

export function createPlatformClient(opts: PlatformClientOptions): PlatformClient {
    const transport = createPlatformTransport(opts);
    const objects = createObjectClient(transport, {
        maxTries: opts.maxTries ?? 4,
        retryDelayMs: opts.retryDelayMs ?? 20,
    });
    const leases = createLeaseClient(objects, {
        getNow: opts.getNow ?? (() => performance.now()),
        createWriteId: opts.createWriteId,
    });

    const listKind = async (kind: ResourceKind): Promise<ResourceList | undefined> => {
        const result = await transport.sendRequest({ method: "GET", path: `/objects/${kind}` });
        const list = result.type === "responded" && result.response.status === 200
            ? parseObjectList(result.response.body, "items")
            : undefined;
        return list && { revision: list.revision, resources: convertToResources(list.objects) };
    };

    const readConfiguration = async (): Promise<ReadResult<ResourceList>> => {
        const lists = await Promise.all(resourceKinds.map(listKind));
        const read = lists.filter(list => list !== undefined);
        if (read.length < lists.length) return { type: "unavailable" };
        // The lists are read at different revisions. A watch from the lowest of them misses no change.
        const revision = Math.min(...read.map(list => list.revision));
        objects.recordRevision(revision);
        return { type: "read", value: { revision, resources: read.flatMap(list => list.resources) } };
    };

    const watchConfiguration: PlatformClient["watchConfiguration"] = async (afterRevision, timeoutMs) => {
        const path = `/watch?kinds=${resourceKinds.join(",")}&after=${afterRevision}&timeoutMs=${timeoutMs}`;
        const result = await transport.sendRequest({ method: "GET", path, extraTimeoutMs: timeoutMs });
        if (result.type !== "responded") return { type: "unavailable" };
        if (result.response.status === 410) return { type: "revisionGone" };
        const list = result.response.status === 200 ? parseObjectList(result.response.body, "changes") : undefined;
        if (list === undefined) return { type: "unavailable" };
        objects.recordRevision(list.revision);
        return { type: "changed", list: { revision: list.revision, resources: convertToResources(list.objects) } };
    };

    const readResource = async <K extends ResourceKind>(
        kind: K,
        name: string,
    ): Promise<ReadResult<ResourceOf<K> | undefined>> => {
        const result = await objects.read(kind, name);
        if (result.type === "unavailable") return result;
        return { type: "read", value: result.object && convertToResource<K>(result.object) };
    };

    const writeResource = async (write: ResourceWrite): Promise<WriteResult> => {
        const { spec, ...otherFields } = write;
        const result = await objects.write({ ...otherFields, value: spec, replaceTombstone: true });
        if (result.type !== "accepted") return result;
        return { type: "accepted", resource: convertToResource(result.object) as Resource };
    };

    const bindKey: PlatformClient["bindKey"] = async (workspace, callerKey, mintedKey) => {
        const name = computeBindingName(workspace, callerKey);
        const written = await objects.write({
            kind: keyBindingKind,
            name,
            expectedVersion: 0,
            writeId: opts.createWriteId(),
            value: { mintedKey },
            // A deleted binding remains in force: the call may have been executed with the earlier key.
            replaceTombstone: false,
        });
        if (written.type === "accepted") return { type: "bound", mintedKey };
        if (written.type !== "conflict") return { type: "unavailable" };
        const existing = await objects.read(keyBindingKind, name);
        const bound = existing.type === "read" ? parseBinding(existing.object?.value) : undefined;
        return bound === undefined ? { type: "unavailable" } : { type: "bound", mintedKey: bound };
    };

    return {
        readConfiguration,
        readResource,
        watchConfiguration,
        writeResource,
        listHosts: async () => {
            const result = await transport.sendRequest({ method: "GET", path: "/hosts" });
            const hosts = result.type === "responded" && result.response.status === 200
                ? parseHosts(result.response.body)
                : undefined;
            return hosts === undefined ? { type: "unavailable" } : { type: "read", value: hosts };
        },
        acquireLease: leases.acquire,
        releaseLease: leases.release,
        bindKey,
        countRequests: transport.countRequests,
        close: transport.close,
    };
}
