/**
 * Baseline of the fairness benchmark: a router without coordination. It may use a fixed set of the targets' slots and
 * serves its own callers in order of arrival.
 */
import { createHttpServer } from "@rhubarbwheel/http-server/createHttpServer";
import { createTargetClient } from "@rhubarbwheel/target-client/createTargetClient";
import type { NamedService } from "@rhubarbwheel/types/events";
import type { Call } from "@rhubarbwheel/types/ports";
import type { ResourceKind, ResourceOf, ServiceSpec, WorkspaceSpec } from "@rhubarbwheel/types/resources";
import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { parseArgs } from "node:util";
import results from "ts-results";
import { operatorToken } from "./fleetPlan.js";

interface NaiveRouterPlan {
    /** Target name of each slot that this router may use. */
    readonly slots: readonly string[];
    readonly service: NamedService;
    readonly workspaces: Readonly<Record<string, WorkspaceSpec>>;
}

const answerTimeoutMs = 60_000;
const megabyte = 1024 * 1024;

function createNaiveQueue(plan: NaiveRouterPlan) {
    const client = createTargetClient({ getNow: () => performance.now() });
    const queue: Call[] = [];
    const addresses = new Map(plan.service.spec.targets.map(target => [target.name, target.address]));
    const freeSlots = plan.slots.map(target => addresses.get(target) ?? "");

    const dispatchQueued = () => {
        while (freeSlots.length > 0 && queue.length > 0) startCall(queue.shift()!, freeSlots.pop()!);
    };
    const startCall = (call: Call, address: string) => {
        client.startAttempt(call, {
            attempt: 1,
            address,
            answerTimeoutMs,
            costPerCall: 1,
            resume: false,
            observer: {
                onAccepted: () => undefined,
                onProgress: () => undefined,
                onEnded: end => {
                    freeSlots.unshift(address);
                    if (end.result === "complete") call.responder.finish();
                    else call.responder.fail({ code: "TARGET_BROKEN", outcome: "unknown" });
                    dispatchQueued();
                },
            },
        });
    };
    return (call: Call) => {
        queue.push(call);
        dispatchQueued();
    };
}

async function runNaiveRouter() {
    const { values } = parseArgs({ options: { plan: { type: "string" }, port: { type: "string" } } });
    const plan = JSON.parse(values.plan ?? "{}") as NaiveRouterPlan;
    const resources = Object.entries(plan.workspaces)
        .map(([name, spec]) => ({ kind: "workspaces" as const, name, version: 1, revision: 1, spec }));
    const respondUnavailable = () => Promise.resolve({ type: "unavailable" as const });
    const server = createHttpServer({
        configuration: {
            listServices: () => [plan.service],
            getService: name => name === plan.service.name ? plan.service : undefined,
            getWorkspace: name => plan.workspaces[name],
            getFreshness: () => "fresh",
            listResources: <K extends ResourceKind>(kind: K) =>
                (kind === "workspaces" ? resources : []) as unknown as readonly ResourceOf<K>[],
            getRevision: () => 1,
        },
        submitCall: createNaiveQueue(plan),
        cancelCall: () => undefined,
        mintKey: randomUUID,
        createId: randomUUID,
        writeResource: respondUnavailable,
        readResource: respondUnavailable,
        listConfiguration: respondUnavailable,
        watchResources: () => () => undefined,
        getStatus: () => ({}),
        getReadiness: () => ({ ready: true, reason: "ready" }),
        operatorToken,
        validateResource: (_kind, _name, spec) => results.Ok(spec as ServiceSpec),
        limits: {
            maxBodyBytes: megabyte,
            maxHeaderBytes: 16 * 1024,
            maxOpenCalls: 10_000,
            maxOpenCallsPerWorkspace: 10_000,
            maxConnections: 10_000,
            slowReaderTimeoutMs: 30_000,
            maxBufferedBytes: megabyte,
        },
    });
    const { port } = await server.listen("127.0.0.1", Number(values.port ?? "0"));
    process.stdout.write(`${JSON.stringify({ listening: port })}\n`);
    process.on("SIGTERM", () => process.exit(0));
}

await runNaiveRouter();
