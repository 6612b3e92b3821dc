/** Arbitraries for every kind of message between routers. */
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import type { ForwardedCall, ForwardedResponse } from "@rhubarbwheel/types/ports";
import * as fc from "fast-check";

const text = fc.string({ unit: "binary", maxLength: 12 });
const integer = fc.maxSafeNat();
const double = fc.double({ noNaN: true }).map(value => value + 0);
const optionalAges = { confirmedAgeMs: double, storeCheckedAgeMs: double };
const list = <T>(item: fc.Arbitrary<T>) => fc.array(item, { maxLength: 4 });
const record = <T extends object>(fields: { [K in keyof T]: fc.Arbitrary<T[K]>; }) =>
    fc.record(fields, { noNullPrototype: true });
const oneOf = <T extends string>(...values: T[]) => fc.constantFrom(...values);

/** Omits each property of `optional` at random; an omitted property must not be decoded as an undefined one. */
function recordWithOptional<R extends object, O extends object>(
    required: { [K in keyof R]: fc.Arbitrary<R[K]>; },
    optional: { [K in keyof O]: fc.Arbitrary<O[K]>; },
): fc.Arbitrary<R & Partial<O>> {
    return fc.tuple(record(required), fc.record(optional, { requiredKeys: [] }))
        .map(([first, second]) => ({ ...first, ...second }) as R & Partial<O>);
}

const update = record({
    router: text,
    incarnation: integer,
    state: oneOf("alive", "suspect", "dead", "left"),
    address: text,
    failureDomain: text,
});
const digest = recordWithOptional({ revision: integer, storeUnreachable: fc.boolean() }, {
    ...optionalAges,
    hosts: record({ ageMs: double, routerCount: integer, leavingHash: integer }),
});
const virtualTime = record({ workspace: text, virtualTime: double });
const granted = list(recordWithOptional({ target: text, generation: integer, total: integer }, { completed: integer }));
const observation = recordWithOptional(
    { target: text, generation: integer, kind: oneOf("refused", "broken", "startIdChanged", "slow") },
    { startId: text },
);

const workspaceSpec = recordWithOptional({ share: double, credentialHashes: list(text) }, {
    maxQueuedPerRouter: integer,
});
const serviceSpec = recordWithOptional({
    kind: oneOf("model", "plain"),
    targets: list(record({ name: text, address: text, failureDomain: text })),
    targetLimit: integer,
    coldLimit: integer,
}, {
    models: list(text),
    idempotentRoutes: list(record({ method: text, pathPrefix: text })),
    costPerCall: double,
    queueTimeoutMs: double,
    answerTimeoutMs: double,
    warmUpRequests: integer,
});
const resource = fc.oneof(
    ...([
        ["workspaces", workspaceSpec],
        ["services", serviceSpec],
        ["failuredomains", record({ state: oneOf("in", "out") })],
    ] as const).map(([kind, spec]) =>
        recordWithOptional(
            {
                kind: fc.constant(kind),
                name: text,
                version: integer,
                revision: integer,
                spec: spec as fc.Arbitrary<unknown>,
            },
            { deleted: fc.boolean() },
        )
    ),
);

const targetState = recordWithOptional({
    target: text,
    generation: integer,
    condition: oneOf("warm", "cold", "closed"),
    limit: integer,
}, { suspect: fc.boolean(), startId: text });

const messageBodies: Record<PeerMessage["type"], fc.Arbitrary<object>> = {
    probe: record({ sequence: integer, updates: list(update), digest }),
    probeAck: record({ sequence: integer, router: text, updates: list(update), digest }),
    probeRequest: record({ sequence: integer, router: text, updates: list(update) }),
    leaving: record({ update }),
    poolReport: recordWithOptional({
        pool: text,
        incarnation: integer,
        sequence: integer,
        usage: list(record({ workspace: text, totalCost: double, queued: integer, estimatedCost: double })),
        slots: list(record({ target: text, generation: integer, held: integer, inUse: integer })),
        granted,
        observations: list(observation),
        totalsInCopy: list(record({ workspace: text, totalCost: double })),
    }, {
        copy: record({
            version: integer,
            poolVirtualTime: double,
            entries: list(virtualTime),
            targets: list(targetState),
        }),
    }),
    poolAnnouncement: recordWithOptional({
        pool: text,
        incarnation: integer,
        version: integer,
        reportSequence: integer,
        granted,
        poolVirtualTime: double,
        virtualTimes: list(virtualTime),
        ceiling: double,
        contended: fc.boolean(),
        targets: list(
            targetState,
        ),
    }, { partial: fc.boolean() }),
    configurationUpdate: recordWithOptional(
        { resources: list(resource), fromRevision: integer, revision: integer, digest },
        { leavingTargets: list(text) },
    ),
    configurationRequest: recordWithOptional({ revision: integer }, { leavingHash: integer }),
};

export const messageKinds = Object.keys(messageBodies) as PeerMessage["type"][];

export function createMessage(type: PeerMessage["type"]): fc.Arbitrary<PeerMessage> {
    return messageBodies[type].map(body => ({ type, ...body }) as PeerMessage);
}

const headers = fc.dictionary(text, text, { noNullPrototype: true });
const body = fc.uint8Array({ maxLength: 64 }).map(value => Buffer.from(value));

export const forwardedCall: fc.Arbitrary<ForwardedCall> = record({
    requestId: text,
    forwardedBy: text,
    mintedKey: text,
    workspace: text,
    service: text,
    method: text,
    path: text,
    headers,
    body,
});

export const forwardedResponse: fc.Arbitrary<ForwardedResponse> = recordWithOptional(
    { outcome: oneOf("complete", "notRun", "unknown"), status: fc.nat({ max: 599 }), headers, body },
    { code: text, retryAfterMs: double },
);
