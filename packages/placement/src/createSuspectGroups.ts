/**
 * Which prompt parts may be at fault for the same crashes of engines. A part that a later crash has made more suspect is also
 * in a smaller group, and stays in the larger one: it may be at fault instead of the others there.
 */

export interface SuspectGroups {
    readonly add: (partId: string, group: string) => void;
    /** Removes a part from all groups. */
    readonly remove: (partId: string) => void;
    readonly listMembers: (group: string) => readonly string[];
}

/** Maximum number of parts in groups. */
const maxParts = 2_000;

export function createSuspectGroups(): SuspectGroups {
    const membersByGroup = new Map<string, Set<string>>();
    const groupsByPart = new Map<string, Set<string>>();

    const remove = (partId: string): void => {
        const groups = groupsByPart.get(partId);
        if (groups === undefined) return;
        for (const group of groups) {
            const members = membersByGroup.get(group);
            members?.delete(partId);
            if (members?.size === 0) membersByGroup.delete(group);
        }
        groupsByPart.delete(partId);
    };

    const getOrCreate = (sets: Map<string, Set<string>>, key: string): Set<string> => {
        const existing = sets.get(key) ?? new Set();
        sets.set(key, existing);
        return existing;
    };

    return {
        add: (partId, group) => {
            getOrCreate(membersByGroup, group).add(partId);
            getOrCreate(groupsByPart, partId).add(group);
            const [oldest] = groupsByPart.keys();
            if (groupsByPart.size > maxParts && oldest !== undefined) remove(oldest);
        },
        remove,
        listMembers: group => [...membersByGroup.get(group) ?? []],
    };
}
