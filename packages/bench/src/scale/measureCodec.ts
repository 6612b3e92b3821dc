/** CPU time and encoded size per kind of peer message, by the amount of content. */
import { decodePeerBatch, encodePeerBatch } from "@rhubarbwheel/peer-protocol/peerCodec";
import type { PeerMessage } from "@rhubarbwheel/types/peer-messages";
import { createCoordinatorHarness } from "./createCoordinatorHarness.js";
import { createMember, createService, createWorkspace } from "./createRouterHarness.js";
import { fitLine } from "./fitLine.js";
import { measureCpuUs } from "./measureCpu.js";

const from = createMember(0);
const digest = {
    revision: 12_000,
    confirmedAgeMs: 312.5,
    storeUnreachable: false,
    storeCheckedAgeMs: 280.25,
    hosts: { ageMs: 512, routerCount: 2_400, leavingHash: 3_000_000_000 },
};
const baseSizes = { backlogged: 2, targets: 12, routers: 15 };

function encodeBatch(messages: readonly PeerMessage[]): Buffer {
    return encodePeerBatch({ from: from.router, incarnation: from.incarnation, messages });
}

function createProbe(updates: number): PeerMessage {
    const memberUpdates = Array.from({ length: updates }, (_, index) => createMember(index));
    return { type: "probe", sequence: 1_000_000, updates: memberUpdates, digest };
}

function createConfigurationUpdate(workspaces: number): PeerMessage {
    const resources = Array.from({ length: workspaces }, (_, index) => createWorkspace(index, 12_000 + index));
    return { type: "configurationUpdate", resources, fromRevision: 12_000, revision: 12_000 + workspaces, digest };
}

function createAnnouncement(sizes: { readonly backlogged: number; readonly targets: number; }): PeerMessage {
    const harness = createCoordinatorHarness({ ...baseSizes, ...sizes });
    harness.tick();
    return harness.listAnnouncements()[0]!;
}

function createReport(sizes: { readonly backlogged: number; readonly targets: number; }): PeerMessage {
    return createCoordinatorHarness({ ...baseSizes, ...sizes }).createReport(0);
}

function createServiceUpdate(targets: number): PeerMessage {
    const resources = [createService("assistant-0", targets, 12_001)];
    return { type: "configurationUpdate", resources, fromRevision: 12_000, revision: 12_001, digest };
}

const messageContents: Readonly<
    Record<string, { readonly sizes: readonly number[]; createMessage: (size: number) => PeerMessage; }>
> = {
    probePerUpdate: { sizes: [0, 4, 8], createMessage: createProbe },
    configurationUpdatePerWorkspace: { sizes: [1, 10, 100], createMessage: createConfigurationUpdate },
    serviceUpdatePerTarget: { sizes: [12, 100, 1_000], createMessage: createServiceUpdate },
    reportPerWorkspace: { sizes: [2, 64, 580], createMessage: backlogged => createReport({ backlogged, targets: 12 }) },
    reportPerTarget: { sizes: [12, 50, 100], createMessage: targets => createReport({ backlogged: 2, targets }) },
    announcementPerWorkspace: {
        sizes: [2, 64, 580],
        createMessage: backlogged => createAnnouncement({ backlogged, targets: 12 }),
    },
    announcementPerTarget: {
        sizes: [12, 50, 100],
        createMessage: targets => createAnnouncement({ backlogged: 2, targets }),
    },
};

function measureContent(name: string): Readonly<Record<string, number>> {
    const { sizes, createMessage } = messageContents[name]!;
    const measured = sizes.map((size, index) => {
        const isFirst = index === 0;
        const message = createMessage(size);
        const encoded = encodeBatch([message]);
        return {
            size,
            bytes: encoded.length,
            encode: measureCpuUs(() => encodeBatch([message]), isFirst),
            decode: measureCpuUs(() => decodePeerBatch(encoded), isFirst),
        };
    });
    const fitLineFor = (key: "bytes" | "encode" | "decode") =>
        fitLine(measured.map(entry => ({ size: entry.size, value: entry[key] })));
    const kind = name.replace(/Per.*/, "");
    return {
        [`${kind}Bytes`]: fitLineFor("bytes").intercept,
        [`${name.replace("Per", "BytesPer")}`]: fitLineFor("bytes").slope,
        [`${kind}EncodeCpuUs`]: fitLineFor("encode").intercept,
        [`${name.replace("Per", "EncodeCpuUsPer")}`]: fitLineFor("encode").slope,
        [`${kind}DecodeCpuUs`]: fitLineFor("decode").intercept,
        [`${name.replace("Per", "DecodeCpuUsPer")}`]: fitLineFor("decode").slope,
    };
}

export function measureCodec(): Readonly<Record<string, number>> {
    // Reports and announcements are fitted twice under the same base keys. Object.assign keeps the intercepts of the
    // second fit, by targets, where the messages contain only two workspaces.
    return Object.assign({}, ...Object.keys(messageContents).map(measureContent)) as Record<string, number>;
}
