/** Indexes workspaces by credential and services by model; the maps are built once per configuration revision. */
import type { NamedService } from "@rhubarbwheel/types/events";
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
            maps = { workspaces: indexCredentials(configuration), models: indexModels(configuration) };
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

function indexCredentials(configuration: HttpConfiguration): Map<string, string> {
    const workspaces = new Map<string, string>();
    for (const resource of sortByName(configuration.listResources("workspaces"))) {
        if (resource.deleted) continue;
        for (const hash of resource.spec.credentialHashes)
            if (!workspaces.has(hash)) workspaces.set(hash, resource.name);
    }
    return workspaces;
}

function indexModels(configuration: HttpConfiguration): Map<string, NamedService> {
    const models = new Map<string, NamedService>();
    for (const service of sortByName(configuration.listServices())) {
        if (service.spec.kind !== "model") continue;
        for (const model of service.spec.models ?? [])
            if (!models.has(model)) models.set(model, service);
    }
    return models;
}
