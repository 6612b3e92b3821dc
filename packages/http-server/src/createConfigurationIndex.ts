/** Indexes workspaces by credential and services by model; the maps are built once per configuration revision. */
import type { NamedService } from "@rhubarbwheel/types/events";
import type { ResourceOf } from "@rhubarbwheel/types/resources";
import { createHash } from "node:crypto";
import type { HttpConfiguration } from "./httpServerOptions.js";

export interface ConfigurationIndex {
    /** Name of the workspace to which the bearer token belongs. */
    readonly findWorkspace: (token: string) => string | undefined;
    readonly findServiceByModel: (model: string) => NamedService | undefined;
}

interface IndexMaps {
    readonly workspaces: ReadonlyMap<string, string>;
    readonly models: ReadonlyMap<string, NamedService>;
}

export function createConfigurationIndex(configuration: HttpConfiguration): ConfigurationIndex {
    let indexedRevision: number | undefined;
    let maps: IndexMaps = { workspaces: new Map(), models: new Map() };

    const getCurrentMaps = (): IndexMaps => {
        const revision = configuration.getRevision();
        if (revision !== indexedRevision) {
            maps = {
                workspaces: indexCredentials(configuration.listResources("workspaces")),
                models: indexModels(configuration.listServices()),
            };
            indexedRevision = revision;
        }
        return maps;
    };

    return {
        findWorkspace: token => getCurrentMaps().workspaces.get(createHash("sha256").update(token).digest("hex")),
        findServiceByModel: model => getCurrentMaps().models.get(model),
    };
}

/** The order decides which of several resources with the same credential or model is used, alike on every router. */
function sortByName<T extends { readonly name: string; }>(items: readonly T[]): T[] {
    return [...items].sort((left, right) => left.name < right.name ? -1 : 1);
}

type CredentialOwner = Pick<ResourceOf<"workspaces">, "name" | "spec" | "deleted">;

/** Maps each credential hash to the name of the workspace that calls with it belong to. */
export function indexCredentials(resources: readonly CredentialOwner[]): ReadonlyMap<string, string> {
    const workspaces = new Map<string, string>();
    for (const resource of sortByName(resources)) {
        if (resource.deleted) continue;
        for (const hash of resource.spec.credentialHashes)
            if (!workspaces.has(hash)) workspaces.set(hash, resource.name);
    }
    return workspaces;
}

/** Maps each model to the service that calls for it go to. */
export function indexModels<T extends Pick<NamedService, "name" | "spec">>(
    services: readonly T[],
): ReadonlyMap<string, T> {
    const models = new Map<string, T>();
    for (const service of sortByName(services)) {
        if (service.spec.kind !== "model") continue;
        for (const model of service.spec.models ?? [])
            if (!models.has(model)) models.set(model, service);
    }
    return models;
}
