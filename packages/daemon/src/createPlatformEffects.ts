/** Effects on the platform's store. A call that fails becomes an event; none of them throws. */
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
        if (result.type === "unavailable") dispatch({ type: "platformUnavailable", call: "readConfiguration" });
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
            dispatch({ type: "platformUnavailable", call: "watchConfiguration", revisionGone });
        }
    };

    const listHosts = async () => {
        const result = await platformClient.listHosts();
        if (result.type === "unavailable") dispatch({ type: "platformUnavailable", call: "listHosts" });
        else dispatch({ type: "hostsListed", hosts: result.value });
    };

    const acquireLease = async (effect: AcquireLeaseEffect) => {
        const requestSentAt = getNow();
        const answer = await platformClient.acquireLease(effect.lease, opts.router, effect.durationMs);
        dispatch({
            type: "leaseAnswered",
            lease: effect.lease,
            result: answer.result,
            validUntil: requestSentAt + answer.validForMs,
            fencingNumber: answer.fencingNumber,
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
