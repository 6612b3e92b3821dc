/** Builds the dependency container of a router from its settings. */
import { createResponseStore } from "@rhubarbwheel/at-most-once/createResponseStore";
import { validateResource } from "@rhubarbwheel/configuration/validateResource";
import { createHttpServer } from "@rhubarbwheel/http-server/createHttpServer";
import { createPeerTransport } from "@rhubarbwheel/peer-protocol/createPeerTransport";
import { createPlatformClient } from "@rhubarbwheel/platform-client/createPlatformClient";
import { createReducer } from "@rhubarbwheel/reducer/createReducer";
import { createTargetClient } from "@rhubarbwheel/target-client/createTargetClient";
import { createLogger } from "@rhubarbwheel/telemetry/createLogger";
import { createMetrics } from "@rhubarbwheel/telemetry/createMetrics";
import type { RouterIdentity } from "@rhubarbwheel/types/slices";
import { asFunction, asValue, createContainer, InjectionMode } from "awilix";
import { randomBytes, randomInt, randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { createCallDispatcher } from "./createCallDispatcher.js";
import { createCallMetrics } from "./createCallMetrics.js";
import { createCallRegistry } from "./createCallRegistry.js";
import { createEffectRunner } from "./createEffectRunner.js";
import { createEventLoop } from "./createEventLoop.js";
import type { Dispatch } from "./createEventLoop.js";
import { createForwardedCallHandler } from "./createForwardedCallHandler.js";
import { createMetricsReporter } from "./createMetricsReporter.js";
import { createOperatorStore } from "./createOperatorStore.js";
import { createPeerProblemLog } from "./createPeerProblemLog.js";
import { createStatus } from "./createStatus.js";
import { daemonLogEvents } from "./daemonLogEvents.js";
import type { Settings } from "./settings.js";

/** Dependencies that the container resolves by name. */
interface Cradle {
    readonly settings: Settings;
    readonly identity: RouterIdentity;
    readonly getNow: () => number;
    readonly dispatch: Dispatch;
    readonly onStop: () => void;
    readonly lifecycle: { draining: boolean; };
    readonly logger: ReturnType<typeof createLogger>;
    readonly metrics: ReturnType<typeof createMetrics>;
    readonly callMetrics: ReturnType<typeof createCallMetrics>;
    readonly registry: ReturnType<typeof createCallRegistry>;
    readonly responseStore: ReturnType<typeof createResponseStore>;
    readonly platformClient: ReturnType<typeof createPlatformClient>;
    readonly targetClient: ReturnType<typeof createTargetClient>;
    readonly transport: ReturnType<typeof createPeerTransport>;
    readonly reducer: ReturnType<typeof createReducer>;
    readonly loop: ReturnType<typeof createEventLoop>;
    readonly callDispatcher: ReturnType<typeof createCallDispatcher>;
    readonly operatorStore: ReturnType<typeof createOperatorStore>;
    readonly status: ReturnType<typeof createStatus>;
    readonly metricsReporter: ReturnType<typeof createMetricsReporter>;
    readonly httpServer: ReturnType<typeof createHttpServer>;
}

export interface RouterCallbacks {
    /** Called when a drain has started and no request is in progress. */
    readonly onStop: () => void;
    readonly writeLog: (line: string) => void;
}

const platformTimeoutMs = 2_000;
const randomSeedLimit = 2 ** 31 - 1;
// Applies backpressure to the target when a caller reads slowly, to bound the memory per call.
const maxBufferedBytesPerCall = 256 * 1024;

export function createRouter(settings: Settings, callbacks: RouterCallbacks) {
    const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY, strict: true });
    const identity: RouterIdentity = {
        router: settings.routerName,
        incarnation: Date.now(),
        address: settings.peerAddress,
        failureDomain: settings.failureDomain,
    };
    container.register({
        settings: asValue(settings),
        identity: asValue(identity),
        getNow: asValue(() => performance.now()),
        // Resolved on each call, because the loop and its event sources depend on each other.
        dispatch: asValue<Dispatch>(event => container.cradle.loop.dispatch(event)),
        onStop: asValue(callbacks.onStop),
        lifecycle: asValue({ draining: false }),
        logger: asFunction(() =>
            createLogger({ level: settings.logLevel, format: settings.logFormat, write: callbacks.writeLog })
        ).singleton(),
        metrics: asFunction(() =>
            createMetrics({
                ...settings.statsd,
                tags: { router: identity.router, failure_domain: identity.failureDomain },
            })
        ).singleton(),
        callMetrics: asFunction(({ metrics, getNow }: Cradle) => createCallMetrics({ metrics, getNow })).singleton(),
        registry: asFunction(createCallRegistry).singleton(),
        responseStore: asFunction(({ dispatch }: Cradle) =>
            createResponseStore({ onRecorded: response => dispatch({ type: "answerRecorded", ...response }) })
        ).singleton(),
        platformClient: asFunction(() =>
            createPlatformClient({
                addresses: settings.platform,
                timeoutMs: platformTimeoutMs,
                createWriteId: randomUUID,
            })
        ).singleton(),
        targetClient: asFunction(({ getNow }: Cradle) => createTargetClient({ getNow })).singleton(),
        transport: asFunction(createRouterTransport).singleton(),
        reducer: asFunction(createRouterReducer).singleton(),
        loop: asFunction(createRouterEventLoop).singleton(),
        callDispatcher: asFunction(({ dispatch, registry, responseStore, reducer, callMetrics }: Cradle) =>
            createCallDispatcher({
                dispatch,
                registry,
                responseStore,
                hasRequest: reducer.entryQueue.hasRequest,
                instrumentCall: callMetrics.instrumentCall,
            })
        ).singleton(),
        operatorStore: asFunction(({ dispatch, platformClient, getNow }: Cradle) =>
            createOperatorStore({ dispatch, platformClient, getNow })
        ).singleton(),
        status: asFunction(createRouterStatus).singleton(),
        metricsReporter: asFunction(({ metrics, reducer, transport, platformClient, getNow }: Cradle) =>
            createMetricsReporter({ metrics, reducer, transport, platformClient, getNow })
        ).singleton(),
        httpServer: asFunction(createRouterHttpServer).singleton(),
    });
    return container;
}

export type RouterContainer = ReturnType<typeof createRouter>;

function createRouterTransport(cradle: Cradle) {
    const { settings, identity, dispatch } = cradle;
    const handleForwardedCall = createForwardedCallHandler({
        submitCall: call => cradle.callDispatcher.submitCall(call),
        createId: randomUUID,
        getService: name => cradle.reducer.configuration.getService(name),
    });
    return createPeerTransport({
        identity,
        fleetSecret: settings.fleetSecret,
        tls: settings.peerTls,
        getNow: cradle.getNow,
        onMessage: (from, message) => dispatch({ type: "peerMessage", from, message }),
        onUnreachable: router => dispatch({ type: "peerUnreachable", router }),
        onForwardedCall: handleForwardedCall,
        onProblem: createPeerProblemLog({
            getNow: cradle.getNow,
            logProblem: fields => cradle.logger.logEvent(daemonLogEvents.peerProblem, fields),
        }),
    });
}

function createRouterReducer({ settings, identity }: Cradle) {
    return createReducer({
        identity,
        seeds: settings.seeds.filter(seed => seed.router !== identity.router),
        randomSeed: randomInt(randomSeedLimit),
        generateKeySecret: () => randomBytes(32).toString("base64url"),
        idempotencyLimits: { maxRecords: settings.idempotencyRecords, maxBytes: settings.idempotencyBytes },
    });
}

function createRouterEventLoop(cradle: Cradle) {
    const { reducer, logger, responseStore } = cradle;
    const runEffect = createEffectRunner({
        router: cradle.identity.router,
        dispatch: cradle.dispatch,
        registry: cradle.registry,
        targetClient: cradle.targetClient,
        platformClient: cradle.platformClient,
        transport: cradle.transport,
        recordedResponses: { replay: responseStore.replayResponse, remove: responseStore.removeResponse },
        getService: reducer.configuration.getService,
        hasRequest: reducer.entryQueue.hasRequest,
        recordAttempt: cradle.callMetrics.recordAttempt,
        getNow: cradle.getNow,
        logEvent: logger.logEvent,
        onStop: cradle.onStop,
    });
    return createEventLoop({
        reduce: reducer.reduce,
        runEffect,
        getNow: cradle.getNow,
        reportError: (error, source) =>
            logger.logEvent(daemonLogEvents.internalError, {
                source: source.type,
                reason: formatError(error),
            }),
    });
}

function formatError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}

function createRouterStatus(cradle: Cradle) {
    const { reducer, transport, platformClient } = cradle;
    return createStatus({
        identity: cradle.identity,
        membership: reducer.membership,
        configuration: reducer.configuration,
        listPeerRevisions: reducer.configuration.listPeerRevisions,
        listPoolTargets: pool => {
            const ownTargets = reducer.poolCoordinator.listTargets().filter(target => target.service === pool);
            if (ownTargets.length > 0) return ownTargets;
            // Only the coordinator knows the slots. Other routers get condition and limit from its announcements.
            return reducer.entryQueue.listAnnouncedTargets(pool)
                .map(({ target, condition, limit, generation }) => ({ target, condition, limit, generation }));
        },
        listPoolWorkspaces: pool =>
            reducer.poolCoordinator.listWorkspaces().filter(workspace => workspace.service === pool),
        listQueues: reducer.entryQueue.listQueues,
        countOpenCalls: cradle.registry.count,
        countTraffic: transport.countTraffic,
        countStoreRequests: platformClient.countRequests,
        isDraining: () => cradle.lifecycle.draining,
        getNow: cradle.getNow,
    });
}

function createRouterHttpServer(cradle: Cradle) {
    const { settings, reducer, platformClient, operatorStore, status, callDispatcher } = cradle;
    return createHttpServer({
        configuration: reducer.configuration,
        submitCall: callDispatcher.submitCall,
        cancelCall: callDispatcher.cancelCall,
        mintKey: reducer.idempotency.mintKey,
        createId: randomUUID,
        writeResource: operatorStore.writeResource,
        readResource: platformClient.readResource,
        listConfiguration: platformClient.readConfiguration,
        watchResources: operatorStore.watchResources,
        getStatus: status.getStatus,
        getReadiness: status.getReadiness,
        operatorToken: settings.operatorToken,
        reportError: (requestId, error) =>
            cradle.logger.logEvent(daemonLogEvents.internalError, {
                source: "http",
                requestId,
                reason: formatError(error),
            }),
        validateResource,
        limits: {
            maxBodyBytes: settings.maxBodyBytes,
            maxHeaderBytes: settings.maxHeaderBytes,
            maxOpenCalls: settings.maxOpenCalls,
            maxOpenCallsPerWorkspace: settings.maxOpenCallsPerWorkspace,
            maxConnections: settings.maxConnections,
            slowReaderTimeoutMs: settings.slowReaderTimeoutMs,
            maxBufferedBytes: maxBufferedBytesPerCall,
        },
    });
}
