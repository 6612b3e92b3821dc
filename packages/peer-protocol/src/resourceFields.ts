/** Wire fields of the resources in configuration updates. */
import type {
    FailureDomainSpec,
    IdempotentRoute,
    Resource,
    ResourceKind,
    ResourceSpecs,
    ServiceSpec,
    TargetSpec,
    WorkspaceSpec,
} from "@rhubarbwheel/types/resources";
import type { WireField } from "./wireFields.js";
import {
    boolean,
    double,
    integer,
    list,
    optional,
    string,
    stringEnum,
    struct,
    WireError,
    wrappedList,
} from "./wireFields.js";

const workspaceSpec = struct<WorkspaceSpec>({
    share: double,
    credentialHashes: list(string),
    maxQueuedPerRouter: optional(integer),
});

const serviceSpec = struct<ServiceSpec>({
    kind: stringEnum(["model", "plain"]),
    targets: list(struct<TargetSpec>({ name: string, address: string, failureDomain: string })),
    targetLimit: integer,
    coldLimit: integer,
    models: optional(wrappedList(string)),
    idempotentRoutes: optional(wrappedList(struct<IdempotentRoute>({ method: string, pathPrefix: string }))),
    costPerCall: optional(double),
    queueTimeoutMs: optional(double),
    answerTimeoutMs: optional(double),
    warmUpRequests: optional(integer),
});

const specFields: { readonly [K in ResourceKind]: WireField<ResourceSpecs[K]>; } = {
    workspaces: workspaceSpec,
    services: serviceSpec,
    failuredomains: struct<FailureDomainSpec>({ state: stringEnum(["in", "out"]) }),
};

const kinds = Object.keys(specFields) as readonly ResourceKind[];

const commonFields = struct<Omit<Resource, "kind" | "spec">>({
    name: string,
    version: integer,
    revision: integer,
    deleted: optional(boolean),
});

/** The kind of a resource is the name of the spec field that is set. */
export const resourceField: WireField<Resource> = {
    toWire: resource => ({
        ...commonFields.toWire(resource) as object,
        [resource.kind]: (specFields[resource.kind] as WireField<unknown>).toWire(resource.spec),
    }),
    fromWire: wire => {
        const source = wire as Record<string, unknown>;
        const kind = kinds.find(name => (source[name] ?? undefined) !== undefined);
        if (kind === undefined) throw new WireError("has a resource without a known spec");
        const common = commonFields.fromWire(wire);
        return { kind, ...common, spec: specFields[kind].fromWire(source[kind]) } as Resource;
    },
};
