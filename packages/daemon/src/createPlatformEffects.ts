/** Runs effects that send store requests. A failed request is dispatched as an event and never thrown. */
import type {
    AcquireLeaseEffect,
    BindKeyEffect,
    ReleaseLeaseEffect,
    WatchConfigurationEffect,
} from "@rhubarbwheel/types/effects";
import type { PlatformClient } from "@rhubarbwheel/types/ports";
import type { Dispatch } from "./createEventLoop.js";

export interface PlatformEffectOptions {
    readonly router: string;
    readonly dispatch: Dispatch;
    readonly platformClient: PlatformClient;
    readonly getNow: () => number;
}

export function createPlatformEffects(opts: PlatformEffectOptions) {
    const { dispatch, platformClient, getNow } = opts;

    const readConfiguration = async () => {
        const requestSentAt = getNow();
        const result = await platformClient.readConfiguration();
        if (result.type === "unavailable") dispatch({ type: "platformUnavailable", operation: "readConfiguration" });
        else dispatch({ type: "configurationRead", requestSentAt, ...result.value });
    };

    const watchConfiguration = async (effect: WatchConfigurationEffect) => {
        const requestSentAt = getNow();
        const result = await platformClient.watchConfiguration(effect.afterRevision, effect.timeoutMs);
        if (result.type === "changed") {
            const { revision, resources } = result.list;
            const fromRevision = effect.afterRevision;
            dispatch({ type: "configurationChanged", fromRevision, revision, resources, requestSentAt });
        }
        else {
            const revisionGone = result.type === "revisionGone";
            dispatch({ type: "platformUnavailable", operation: "watchConfiguration", revisionGone });
        }
    };

    const listHosts = async () => {
        const result = await platformClient.listHosts();
        if (result.type === "unavailable") dispatch({ type: "platformUnavailable", operation: "listHosts" });
        else dispatch({ type: "hostsListed", hosts: result.value });
    };

    const acquireLease = async (effect: AcquireLeaseEffect) => {
        const requestSentAt = getNow();
        const leaseResult = await platformClient.acquireLease(effect.lease, opts.router, effect.durationMs);
        dispatch({
            type: "leaseAnswered",
            lease: effect.lease,
            result: leaseResult.result,
            validUntil: requestSentAt + leaseResult.validForMs,
            fencingNumber: leaseResult.fencingNumber,
        });
    };

    const bindKey = async (effect: BindKeyEffect) => {
        const { requestId, workspace, callerKey, mintedKey } = effect;
        const result = await platformClient.bindKey(workspace, callerKey, mintedKey);
        if (result.type === "bound")
            dispatch({ type: "keyBound", requestId, result: "bound", mintedKey: result.mintedKey });
        else dispatch({ type: "keyBound", requestId, result: "unavailable" });
    };

    return {
        readConfiguration: () => void readConfiguration(),
        watchConfiguration: (effect: WatchConfigurationEffect) => void watchConfiguration(effect),
        listHosts: () => void listHosts(),
        acquireLease: (effect: AcquireLeaseEffect) => void acquireLease(effect),
        releaseLease: (effect: ReleaseLeaseEffect) => void platformClient.releaseLease(effect.lease, opts.router),
        bindKey: (effect: BindKeyEffect) => void bindKey(effect),
    };
}
