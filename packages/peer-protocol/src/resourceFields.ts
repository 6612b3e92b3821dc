/** Field descriptions of the resources that travel in configuration updates. */
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
import { choice, double, flag, integer, list, optional, shape, text, WireError, wrappedList } from "./wireFields.js";

const workspaceSpec = shape<WorkspaceSpec>({
    share: double,
    credentialHashes: list(text),
    maxQueuedPerRouter: optional(integer),
});

const serviceSpec = shape<ServiceSpec>({
    kind: choice(["model", "plain"]),
    targets: list(shape<TargetSpec>({ name: text, address: text, failureDomain: text })),
    targetLimit: integer,
    coldLimit: integer,
    models: optional(wrappedList(text)),
    idempotentRoutes: optional(wrappedList(shape<IdempotentRoute>({ method: text, pathPrefix: text }))),
    costPerCall: optional(double),
    queueTimeoutMs: optional(double),
    answerTimeoutMs: optional(double),
    warmUpRequests: optional(integer),
});

const specFields: { readonly [K in ResourceKind]: WireField<ResourceSpecs[K]>; } = {
    workspaces: workspaceSpec,
    services: serviceSpec,
    failuredomains: shape<FailureDomainSpec>({ state: choice(["in", "out"]) }),
};

const kinds = Object.keys(specFields) as readonly ResourceKind[];

const commonFields = shape<Omit<Resource, "kind" | "spec">>({
    name: text,
    version: integer,
    revision: integer,
    deleted: optional(flag),
});

/** A resource; its kind is the name of the spec field that is set. */
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
