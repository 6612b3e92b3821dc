/** Field descriptions of every message between routers; they match `proto/peer.proto`. */
import type {
    ConfigurationDigest,
    ConfigurationRequestMessage,
    ConfigurationUpdateMessage,
    GrantTotal,
    HostListDigest,
    LeavingMessage,
    MemberUpdate,
    PeerMessage,
    PoolAnnouncementMessage,
    PoolReportMessage,
    ProbeAckMessage,
    ProbeMessage,
    ProbeRequestMessage,
    SlotCount,
    TargetObservation,
    TargetState,
    VirtualTimeCopy,
    WorkspaceUsage,
    WorkspaceVirtualTime,
} from "@rhubarbwheel/types/peer-messages";
import type { ForwardedCall, ForwardedResponse } from "@rhubarbwheel/types/ports";
import { resourceField } from "./resourceFields.js";
import type { WireField } from "./wireFields.js";
import {
    bytes,
    choice,
    double,
    flag,
    integer,
    list,
    optional,
    shape,
    text,
    textRecord,
    wrappedList,
} from "./wireFields.js";

type Untyped<T> = Omit<T, "type">;

const memberUpdate = shape<MemberUpdate>({
    router: text,
    incarnation: integer,
    state: choice(["alive", "suspect", "dead", "left"]),
    address: text,
    failureDomain: text,
});

const digest = shape<ConfigurationDigest>({
    revision: integer,
    confirmedAgeMs: optional(double),
    storeUnreachable: flag,
    storeCheckedAgeMs: optional(double),
    hosts: optional(shape<HostListDigest>({ ageMs: double, routerCount: integer, leavingHash: integer })),
});

const slotCount = shape<SlotCount>({ target: text, generation: integer, held: integer, inUse: integer });

const workspaceUsage = shape<WorkspaceUsage>({
    workspace: text,
    totalCost: double,
    queued: integer,
    estimatedCost: double,
});

const observation = shape<TargetObservation>({
    target: text,
    generation: integer,
    kind: choice(["refused", "broken", "startIdChanged", "slow"]),
    startId: optional(text),
});

const virtualTime = shape<WorkspaceVirtualTime>({ workspace: text, virtualTime: double });

const targetState = shape<TargetState>({
    target: text,
    generation: integer,
    condition: choice(["warm", "cold", "closed"]),
    limit: integer,
    suspect: optional(flag),
    startId: optional(text),
});

const virtualTimeCopy = shape<VirtualTimeCopy>({
    version: integer,
    poolVirtualTime: double,
    entries: list(virtualTime),
    targets: list(targetState),
});

const grantTotal = shape<GrantTotal>({
    target: text,
    generation: integer,
    total: integer,
    completed: optional(integer),
});

const poolReport = shape<Untyped<PoolReportMessage>>({
    pool: text,
    incarnation: integer,
    sequence: integer,
    usage: list(workspaceUsage),
    slots: list(slotCount),
    granted: list(grantTotal),
    observations: list(observation),
    totalsInCopy: list(shape<PoolReportMessage["totalsInCopy"][number]>({ workspace: text, totalCost: double })),
    copy: optional(virtualTimeCopy),
});

const poolAnnouncement = shape<Untyped<PoolAnnouncementMessage>>({
    pool: text,
    incarnation: integer,
    version: integer,
    reportSequence: integer,
    granted: list(grantTotal),
    poolVirtualTime: double,
    virtualTimes: list(virtualTime),
    ceiling: double,
    contended: flag,
    targets: list(targetState),
    partial: optional(flag),
});

/** Fields of each kind of message; the key is the name of the kind in the `oneof` of the batch. */
export const messageFields: {
    readonly [K in PeerMessage["type"]]: WireField<Untyped<Extract<PeerMessage, { readonly type: K; }>>>;
} = {
    probe: shape<Untyped<ProbeMessage>>({ sequence: integer, updates: list(memberUpdate), digest }),
    probeAck: shape<Untyped<ProbeAckMessage>>({ sequence: integer, router: text, updates: list(memberUpdate), digest }),
    probeRequest: shape<Untyped<ProbeRequestMessage>>({ sequence: integer, router: text, updates: list(memberUpdate) }),
    leaving: shape<Untyped<LeavingMessage>>({ update: memberUpdate }),
    poolReport,
    poolAnnouncement,
    configurationUpdate: shape<Untyped<ConfigurationUpdateMessage>>({
        resources: list(resourceField),
        fromRevision: integer,
        revision: integer,
        digest,
        leavingTargets: optional(wrappedList(text)),
    }),
    configurationRequest: shape<Untyped<ConfigurationRequestMessage>>({
        revision: integer,
        leavingHash: optional(integer),
    }),
};

export const forwardedCallField = shape<ForwardedCall>({
    requestId: text,
    forwardedBy: text,
    mintedKey: text,
    workspace: text,
    service: text,
    method: text,
    path: text,
    headers: textRecord,
    body: bytes,
});

export const forwardedAnswerField = shape<ForwardedResponse>({
    outcome: choice(["complete", "notRun", "unknown"]),
    status: integer,
    headers: textRecord,
    body: bytes,
    code: optional(text),
    retryAfterMs: optional(double),
});
