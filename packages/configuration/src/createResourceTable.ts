/** Replica of the platform's resources, tombstones included. The version of a resource never decreases. */
import type { NamedService } from "@rhubarbwheel/types/events";
import type { Resource, ResourceKind, ResourceOf, TargetSpec } from "@rhubarbwheel/types/resources";

export interface ResourceTable {
    /** Stores the resource if its version is newer; returns whether it was. */
    readonly apply: (resource: Resource) => boolean;
    /** Finds a resource that is not deleted. */
    readonly find: <K extends ResourceKind>(kind: K, name: string) => ResourceOf<K> | undefined;
    /** Lists the resources of a kind that are not deleted, sorted by name. */
    readonly list: <K extends ResourceKind>(kind: K) => readonly ResourceOf<K>[];
    /** Services that are not deleted, sorted by name. The array is replaced on each change. */
    readonly listServices: () => readonly NamedService[];
    readonly findTarget: (service: string, target: string) => TargetSpec | undefined;
    /** Lists all resources and tombstones changed after the revision, sorted by revision. */
    readonly listChangedAfter: (revision: number) => readonly Resource[];
}

type Tables = { readonly [K in ResourceKind]: Map<string, ResourceOf<K>>; };

export function createResourceTable(): ResourceTable {
    const tables: Tables = { workspaces: new Map(), services: new Map(), failuredomains: new Map() };
    let services: readonly NamedService[] | undefined;
    // Targets are looked up before each dispatch, and a service may have a thousand of them.
    const targets = new Map<string, ReadonlyMap<string, TargetSpec>>();

    const apply = (resource: Resource): boolean => {
        const table = tables[resource.kind] as Map<string, Resource>;
        if (resource.version <= (table.get(resource.name)?.version ?? 0)) return false;
        table.set(resource.name, resource);
        if (resource.kind !== "services") return true;
        services = undefined;
        targets.delete(resource.name);
        return true;
    };

    const find = <K extends ResourceKind>(kind: K, name: string) => {
        const resource = tables[kind].get(name) as ResourceOf<K> | undefined;
        return resource?.deleted === true ? undefined : resource;
    };

    const findTarget = (service: string, target: string) => {
        const known = targets.get(service);
        if (known !== undefined) return known.get(target);
        const index = new Map(find("services", service)?.spec.targets.map(entry => [entry.name, entry]));
        if (index.size > 0) targets.set(service, index);
        return index.get(target);
    };

    const list = <K extends ResourceKind>(kind: K): readonly ResourceOf<K>[] =>
        ([...tables[kind].values()] as ResourceOf<K>[])
            .filter(resource => resource.deleted !== true)
            .sort((left, right) => (left.name < right.name ? -1 : 1));

    return {
        apply,
        find,
        findTarget,
        list,
        listServices: () => services ??= list("services").map(({ name, version, spec }) => ({ name, version, spec })),
        listChangedAfter: revision =>
            Object.values(tables)
                .flatMap((table): Resource[] => [...table.values()])
                .filter(resource => resource.revision > revision)
                .sort((left, right) => left.revision - right.revision),
    };
}
