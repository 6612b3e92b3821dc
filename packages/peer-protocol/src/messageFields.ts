/** Wire fields of the messages between routers and of forwarded calls; they match `proto/peer.proto`. */
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
    boolean,
    bytes,
    double,
    integer,
    list,
    optional,
    string,
    stringEnum,
    stringRecord,
    struct,
    wrappedList,
} from "./wireFields.js";

type WithoutType<T> = Omit<T, "type">;

const memberUpdate = struct<MemberUpdate>({
    router: string,
    incarnation: integer,
    state: stringEnum(["alive", "suspect", "dead", "left"]),
    address: string,
    failureDomain: string,
});

const digest = struct<ConfigurationDigest>({
    revision: integer,
    confirmedAgeMs: optional(double),
    storeUnreachable: boolean,
    storeCheckedAgeMs: optional(double),
    hosts: optional(struct<HostListDigest>({ ageMs: double, routerCount: integer, leavingHash: integer })),
});

const slotCount = struct<SlotCount>({ target: string, generation: integer, held: integer, inUse: integer });

const workspaceUsage = struct<WorkspaceUsage>({
    workspace: string,
    totalCost: double,
    queued: integer,
    estimatedCost: double,
});

const observation = struct<TargetObservation>({
    target: string,
    generation: integer,
    kind: stringEnum(["refused", "broken", "startIdChanged", "slow"]),
    startId: optional(string),
});

const virtualTime = struct<WorkspaceVirtualTime>({ workspace: string, virtualTime: double });

const targetState = struct<TargetState>({
    target: string,
    generation: integer,
    condition: stringEnum(["warm", "cold", "closed"]),
    limit: integer,
    suspect: optional(boolean),
    startId: optional(string),
});

const virtualTimeCopy = struct<VirtualTimeCopy>({
    version: integer,
    poolVirtualTime: double,
    entries: list(virtualTime),
    targets: list(targetState),
});

const grantTotal = struct<GrantTotal>({
    target: string,
    generation: integer,
    total: integer,
    completed: optional(integer),
});

const poolReport = struct<WithoutType<PoolReportMessage>>({
    pool: string,
    incarnation: integer,
    sequence: integer,
    usage: list(workspaceUsage),
    slots: list(slotCount),
    granted: list(grantTotal),
    observations: list(observation),
    totalsInCopy: list(struct<PoolReportMessage["totalsInCopy"][number]>({ workspace: string, totalCost: double })),
    copy: optional(virtualTimeCopy),
});

const poolAnnouncement = struct<WithoutType<PoolAnnouncementMessage>>({
    pool: string,
    incarnation: integer,
    version: integer,
    reportSequence: integer,
    granted: list(grantTotal),
    poolVirtualTime: double,
    virtualTimes: list(virtualTime),
    ceiling: double,
    contended: boolean,
    targets: list(targetState),
    partial: optional(boolean),
});

/** Wire fields of each kind of message; the keys are the names in the `oneof` of `PeerEnvelope`. */
export const messageFields: {
    readonly [K in PeerMessage["type"]]: WireField<WithoutType<Extract<PeerMessage, { readonly type: K; }>>>;
} = {
    probe: struct<WithoutType<ProbeMessage>>({ sequence: integer, updates: list(memberUpdate), digest }),
    probeAck: struct<WithoutType<ProbeAckMessage>>({
        sequence: integer,
        router: string,
        updates: list(memberUpdate),
        digest,
    }),
    probeRequest: struct<WithoutType<ProbeRequestMessage>>({
        sequence: integer,
        router: string,
        updates: list(memberUpdate),
    }),
    leaving: struct<WithoutType<LeavingMessage>>({ update: memberUpdate }),
    poolReport,
    poolAnnouncement,
    configurationUpdate: struct<WithoutType<ConfigurationUpdateMessage>>({
        resources: list(resourceField),
        fromRevision: integer,
        revision: integer,
        digest,
        leavingTargets: optional(wrappedList(string)),
    }),
    configurationRequest: struct<WithoutType<ConfigurationRequestMessage>>({
        revision: integer,
        leavingHash: optional(integer),
    }),
};

export const forwardedCallField = struct<ForwardedCall>({
    requestId: string,
    forwardedBy: string,
    mintedKey: string,
    workspace: string,
    service: string,
    method: string,
    path: string,
    headers: stringRecord,
    body: bytes,
});

export const forwardedResponseField = struct<ForwardedResponse>({
    outcome: stringEnum(["complete", "notRun", "unknown"]),
    status: integer,
    headers: stringRecord,
    body: bytes,
    code: optional(string),
    retryAfterMs: optional(double),
});
