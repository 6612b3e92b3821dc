/** Parses and validates responses of the platform's object API. */
import type { HostEntry, Resource, ResourceKind, ResourceOf } from "@rhubarbwheel/types/resources";

/** An object as the platform returns it. */
export interface PlatformObject {
    readonly kind: string;
    readonly name: string;
    readonly version: number;
    readonly revision: number;
    readonly writeId: string;
    readonly deleted?: boolean;
    readonly value: unknown;
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value);
}

export function parseObject(value: unknown): PlatformObject | undefined {
    if (!isRecord(value)) return undefined;
    const { kind, name, version, revision, writeId, deleted } = value;
    const hasStringFields = typeof kind === "string" && typeof name === "string" && typeof writeId === "string";
    if (!hasStringFields || !Number.isSafeInteger(version) || !Number.isSafeInteger(revision)) return undefined;
    const versions = { version: version as number, revision: revision as number };
    return { kind, name, ...versions, writeId, deleted: deleted === true, value: value["value"] };
}

/** Parses `{ revision, items }` or `{ revision, changes }`; returns `undefined` when any part is malformed. */
export function parseObjectList(
    value: unknown,
    field: "items" | "changes",
): { readonly revision: number; readonly objects: readonly PlatformObject[]; } | undefined {
    if (!isRecord(value) || !Number.isSafeInteger(value["revision"]) || !Array.isArray(value[field])) return undefined;
    const objects = (value[field] as unknown[]).map(parseObject);
    const isValid = objects.every(object => object !== undefined);
    return isValid ? { revision: value["revision"] as number, objects } : undefined;
}

export function parseHosts(value: unknown): readonly HostEntry[] | undefined {
    return isRecord(value) && Array.isArray(value["hosts"]) ? value["hosts"] as HostEntry[] : undefined;
}

/** Converts an object of a resource kind to a resource; the configuration package validates its spec. */
export function convertToResource<K extends ResourceKind>(object: PlatformObject): ResourceOf<K> {
    const { kind, name, version, revision } = object;
    const resource = { kind: kind as K, name, version, revision, spec: object.value as ResourceOf<K>["spec"] };
    return object.deleted === true ? { ...resource, deleted: true } : resource;
}

export function convertToResources(objects: readonly PlatformObject[]): readonly Resource[] {
    return objects.map(object => convertToResource(object)) as Resource[];
}
