/** Client of the platform's object API. */
import type { PlatformClient, ReadResult, ResourceList, ResourceWrite, WriteResult } from "@rhubarbwheel/types/ports";
import type { Resource, ResourceKind, ResourceOf } from "@rhubarbwheel/types/resources";
import { createHash } from "node:crypto";
import { createLeaseClient } from "./createLeaseClient.js";
import { createObjectClient } from "./createObjectClient.js";
import { createPlatformTransport } from "./createPlatformTransport.js";
import { convertToResource, convertToResources, parseHosts, parseObjectList } from "./parsePlatform.js";

export interface PlatformClientOptions {
    /** Base URLs of the object API; all of them lead to the same store. */
    readonly addresses: readonly string[];
    /** Longest time for one call. */
    readonly timeoutMs: number;
    /** Returns an id that no other write of the fleet has. */
    readonly createWriteId: () => string;
    /** Monotonic time in milliseconds, default `performance.now`. */
    readonly clock?: () => number;
    /** Most times that a write is sent while its fate is not known, default 4. */
    readonly maxTries?: number;
    /** Pause before a write is sent again, doubled each time, default 20 ms. */
    readonly retryDelayMs?: number;
}

const resourceKinds: readonly ResourceKind[] = ["workspaces", "services", "failuredomains"];
const keyKind = "idempotencykeys";

/** Returns the name under which a caller's key is bound; the key itself may hold characters that names may not. */
function hashKey(workspace: string, callerKey: string): string {
    return createHash("sha256").update(JSON.stringify([workspace, callerKey])).digest("hex");
}

function readMintedKey(value: unknown): string | undefined {
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
        clock: opts.clock ?? (() => performance.now()),
        createWriteId: opts.createWriteId,
    });

    const listKind = async (kind: ResourceKind): Promise<ResourceList | undefined> => {
        const result = await transport.call({ method: "GET", path: `/objects/${kind}` });
        const list = result.type === "answered" && result.answer.status === 200
            ? parseObjectList(result.answer.body, "items")
            : undefined;
        return list && { revision: list.revision, resources: convertToResources(list.objects) };
    };

    const readConfiguration = async (): Promise<ReadResult<ResourceList>> => {
        const lists = await Promise.all(resourceKinds.map(listKind));
        const read = lists.filter(list => list !== undefined);
        if (read.length < lists.length) return { type: "unavailable" };
        // The lists are read at different revisions. From the least of them on, a watch misses no change.
        const revision = Math.min(...read.map(list => list.revision));
        objects.recordRevision(revision);
        return { type: "read", value: { revision, resources: read.flatMap(list => list.resources) } };
    };

    const watchConfiguration: PlatformClient["watchConfiguration"] = async (afterRevision, timeoutMs) => {
        const path = `/watch?kinds=${resourceKinds.join(",")}&after=${afterRevision}&timeoutMs=${timeoutMs}`;
        const result = await transport.call({ method: "GET", path, extraTimeoutMs: timeoutMs });
        if (result.type !== "answered") return { type: "unavailable" };
        if (result.answer.status === 410) return { type: "revisionGone" };
        const list = result.answer.status === 200 ? parseObjectList(result.answer.body, "changes") : undefined;
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
        const { spec, ...named } = write;
        const result = await objects.write({ ...named, value: spec, replaceTombstone: true });
        if (result.type !== "accepted") return result;
        return { type: "accepted", resource: convertToResource(result.object) as Resource };
    };

    const bindKey: PlatformClient["bindKey"] = async (workspace, callerKey, mintedKey) => {
        const name = hashKey(workspace, callerKey);
        const written = await objects.write({
            kind: keyKind,
            name,
            expectedVersion: 0,
            writeId: opts.createWriteId(),
            value: { mintedKey },
            // A deleted binding still binds: the call may have run under the earlier key.
            replaceTombstone: false,
        });
        if (written.type === "accepted") return { type: "bound", mintedKey };
        if (written.type !== "conflict") return { type: "unavailable" };
        const existing = await objects.read(keyKind, name);
        const bound = existing.type === "read" ? readMintedKey(existing.object?.value) : undefined;
        return bound === undefined ? { type: "unavailable" } : { type: "bound", mintedKey: bound };
    };

    return {
        readConfiguration,
        readResource,
        watchConfiguration,
        writeResource,
        listHosts: async () => {
            const result = await transport.call({ method: "GET", path: "/hosts" });
            const hosts = result.type === "answered" && result.answer.status === 200
                ? parseHosts(result.answer.body)
                : undefined;
            return hosts === undefined ? { type: "unavailable" } : { type: "read", value: hosts };
        },
        acquireLease: leases.acquire,
        releaseLease: leases.release,
        bindKey,
        countCalls: transport.countCalls,
        close: transport.close,
    };
}
