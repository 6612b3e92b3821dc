/**
 * A store with one kind of entries, which may come back from an older copy, and three routers: the first two read it,
 * with responses that can be late, and relay it to the third on connections that can be late too.
 */
import type { StorePosition } from "@rhubarbwheel/types/storePosition";
import type { ViewChange } from "@rhubarbwheel/types/view-events";
import { createEntries, createHarness, kind, listNames, type MirrorHarness } from "./mirrorHarness.js";

interface HistoryEntry {
    readonly revision: number;
    readonly change?: ViewChange;
    /** Names at this revision. */
    readonly names: readonly string[];
}

/** Store that remembers the names at each position, also of eras that have ended. */
function createModelStore() {
    let era = 1;
    let history: HistoryEntry[] = [{ revision: 1, names: [] }];
    const namesAt = new Map<string, readonly string[]>([["1/1", []]]);
    const getNewest = () => history.at(-1)!;

    const append = (entry: HistoryEntry): void => {
        history.push(entry);
        namesAt.set(`${era}/${entry.revision}`, entry.names);
    };

    return {
        getPosition: (): StorePosition => ({ era, revision: getNewest().revision }),
        getNamesAt: ({ era: at, revision }: StorePosition) => namesAt.get(`${at}/${revision}`) ?? [],
        /** Changes another kind if `name` is undefined. */
        change: (name: string | undefined) => {
            const { revision, names } = getNewest();
            if (name === undefined) return append({ revision: revision + 1, names });
            const isPresent = names.includes(name);
            const change = isPresent ? { name } : { name, entry: { failureDomain: name } };
            const others = names.filter(other => other !== name);
            append({ revision: revision + 1, change, names: isPresent ? others : [...others, name].sort() });
        },
        /** Loses the last changes, whose revisions are given out again. */
        restoreCopy: (lostChanges: number) => {
            history = history.slice(0, Math.max(1, history.length - lostChanges));
            era += 1;
            namesAt.set(`${era}/${getNewest().revision}`, getNewest().names);
        },
        /** Undefined if the store does not have the revision. */
        listChanges: (from: number): readonly ViewChange[] | undefined =>
            from > getNewest().revision
                ? undefined
                : history.filter(entry => entry.revision > from).flatMap(({ change }) => change ?? []),
    };
}

type ModelStore = ReturnType<typeof createModelStore>;

/** A router whose requests the store answers at once; the responses arrive when `deliver` is called. */
function createModelRouter(store: ModelStore, harness: MirrorHarness) {
    let pending: (() => void) | undefined;
    let needsList = false;
    const { mirror } = harness;
    return {
        harness,
        /** Sends a list or a watch, as `followStore` does. */
        request: (isList: boolean) => {
            const confirmedAt = harness.now;
            const from = mirror.getPosition(kind);
            const position = store.getPosition();
            const changes = from === undefined ? undefined : store.listChanges(from.revision);
            if (isList || needsList || from === undefined) {
                const entries = createEntries(store.getNamesAt(position));
                needsList = false;
                pending = () =>
                    mirror.handleStoreEvent({ type: "viewListed", kind, entries, ...position, confirmedAt });
            }
            else if (changes === undefined || from.era !== position.era)
                pending = () => (needsList = true);
            else {
                const fromRevision = from.revision;
                const event = { type: "viewChanged", kind, changes, fromRevision, ...position, confirmedAt } as const;
                pending = () => mirror.handleStoreEvent(event);
            }
        },
        deliver: () => {
            pending?.();
            pending = undefined;
        },
    };
}

type ModelRouter = ReturnType<typeof createModelRouter>;

/** Connection on which `relay` sends to `follower`, in order and with delay. */
function createModelLink(relay: ModelRouter, follower: ModelRouter) {
    const queue: (() => "applied" | "gap")[] = [];
    let sent: StorePosition | undefined;
    let handledUpdates = relay.harness.updates.length;
    const source = relay.harness.mirror;
    const sink = follower.harness.mirror;
    const sendList = () => {
        const list = source.getList(kind);
        if (list === undefined) return;
        sent = list;
        queue.push(() => {
            sink.applyRelayedList(kind, list, "relay");
            return "applied";
        });
    };
    sendList();
    return {
        /** Sends what has changed since the last call. */
        send: () => {
            const updates = relay.harness.updates.slice(handledUpdates);
            handledUpdates = relay.harness.updates.length;
            for (const changes of updates) {
                const position = source.getPosition(kind)!;
                const from = sent;
                if (changes === undefined || from?.era !== position.era) sendList();
                else {
                    const update = { changes, ...position, fromRevision: from.revision };
                    queue.push(() => sink.applyRelayedChanges(kind, update, "relay"));
                }
                sent = position;
            }
        },
        confirm: () => {
            const confirmation = source.getConfirmation(kind);
            if (confirmation === undefined || sent?.era !== confirmation.era) return;
            const fromRevision = sent.revision;
            sent = confirmation;
            queue.push(() => sink.confirm(kind, { ...confirmation, fromRevision }));
        },
        deliver: () => {
            if (queue.shift()?.() !== "gap") return;
            // The follower reconnects and gets a list.
            queue.length = 0;
            sendList();
        },
        hasPending: () => queue.length > 0,
    };
}

const relayIndexes = [0, 1];

const followerIndex = 2;

/** Requests after which a router has listed after a drill, and watched after the list. */
const settleRequests = 3;

export function createModelFleet() {
    const store = createModelStore();
    const routers = [...relayIndexes, followerIndex].map(() => createModelRouter(store, createHarness()));
    const connectRelay = (index: number) => createModelLink(routers[index]!, routers[followerIndex]!);
    const links = relayIndexes.map(connectRelay);

    const restart = (index: number): void => {
        routers[index] = createModelRouter(store, createHarness());
        for (const link of index === followerIndex ? relayIndexes : [index]) links[link] = connectRelay(link);
    };

    const sendUpdates = (): void => links.forEach(link => link.send());

    return {
        /** `VERB ARGUMENT`, where the argument is the index of a router, a name, or a number of lost changes. */
        runStep: (step: string): void => {
            const [verb = "", argument = ""] = step.split(" ");
            const index = Number(argument);
            for (const { harness } of routers) harness.now += 10;
            if (verb === "change") store.change(argument === "other" ? undefined : argument);
            else if (verb === "drill") store.restoreCopy(index);
            else if (verb === "request" || verb === "list") routers[index]!.request(verb === "list");
            else if (verb === "arrive") routers[index]!.deliver();
            else if (verb === "confirm") links[index]!.confirm();
            else if (verb === "restart") restart(index);
            else links[index]!.deliver();
            sendUpdates();
        },
        /** Lets the two routers that read the store catch up, and delivers what they relay. */
        runUntilSettled: (): void => {
            for (const index of relayIndexes) {
                for (let count = 0; count < settleRequests; count++) {
                    routers[index]!.deliver();
                    sendUpdates();
                    for (const { harness } of routers) harness.now += 10;
                    routers[index]!.request(false);
                    routers[index]!.deliver();
                    sendUpdates();
                }
            }
            for (const link of links) while (link.hasPending()) link.deliver();
        },
        getNewestNames: () => store.getNamesAt(store.getPosition()),
        /** What each router knows, and what the store had at the position of its mirror. */
        listStates: () =>
            routers.flatMap(({ harness: { mirror } }) => {
                const position = mirror.getPosition(kind);
                if (position === undefined) return [];
                return [{ position, names: listNames(mirror), namesInStore: store.getNamesAt(position) }];
            }),
        getPosition: (index: number) => routers[index]!.harness.mirror.getPosition(kind),
    };
}
