/** Finds workspaces by credential and services by model, through maps that are built once per configuration revision. */
import type { NamedService } from "@rhubarbwheel/types/events";
import { createHash } from "node:crypto";
import type { HttpConfiguration } from "./httpServerOptions.js";

export interface Directory {
    /** Name of the workspace to which the bearer token belongs. */
    readonly findWorkspace: (token: string) => string | undefined;
    readonly findServiceByModel: (model: string) => NamedService | undefined;
}

interface DirectoryMaps {
    readonly workspaces: ReadonlyMap<string, string>;
    readonly models: ReadonlyMap<string, NamedService>;
}

export function createDirectory(configuration: HttpConfiguration): Directory {
    let builtRevision: number | undefined;
    let maps: DirectoryMaps = { workspaces: new Map(), models: new Map() };

    const obtainMaps = (): DirectoryMaps => {
        const revision = configuration.getRevision();
        if (revision !== builtRevision) {
            maps = { workspaces: mapCredentials(configuration), models: mapModels(configuration) };
            builtRevision = revision;
        }
        return maps;
    };

    return {
        findWorkspace: token => obtainMaps().workspaces.get(createHash("sha256").update(token).digest("hex")),
        findServiceByModel: model => obtainMaps().models.get(model),
    };
}

/** Of two workspaces with the same credential, or two services with the same model, every router picks the first by name. */
function sortByName<T extends { readonly name: string; }>(items: readonly T[]): T[] {
    return [...items].sort((left, right) => left.name < right.name ? -1 : 1);
}

function mapCredentials(configuration: HttpConfiguration): Map<string, string> {
    const workspaces = new Map<string, string>();
    for (const resource of sortByName(configuration.listResources("workspaces"))) {
        if (resource.deleted) continue;
        for (const hash of resource.spec.credentialHashes)
            if (!workspaces.has(hash)) workspaces.set(hash, resource.name);
    }
    return workspaces;
}

function mapModels(configuration: HttpConfiguration): Map<string, NamedService> {
    const models = new Map<string, NamedService>();
    for (const service of sortByName(configuration.listServices())) {
        if (service.spec.kind !== "model") continue;
        for (const model of service.spec.models ?? [])
            if (!models.has(model)) models.set(model, service);
    }
    return models;
}
