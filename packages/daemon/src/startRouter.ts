/** Starts a router in this process, and stops it after what is in progress has ended. */
import { createRouter } from "./createRouter.js";
import { daemonEvents } from "./daemonEvents.js";
import type { Settings } from "./settings.js";

const tickMs = 100;
const metricsIntervalMs = 10_000;
// Lets the last answers and the messages about leaving go out.
const lastWritesMs = 100;

export interface RunningRouter {
    /** Port at which callers and operators connect. */
    readonly port: number;
    readonly peerPort: number;
    /** Fails readiness, finishes what is in progress, and closes everything; false when the drain timeout passed. */
    readonly drain: () => Promise<boolean>;
}

export async function startRouter(settings: Settings, writeLog: (line: string) => void): Promise<RunningRouter> {
    let resolveStop: () => void = () => undefined;
    const stopped = new Promise<void>(resolve => (resolveStop = resolve));
    const { cradle } = createRouter(settings, { onStop: () => resolveStop(), writeLog });
    const { dispatch, transport, httpServer, logger, metricsReporter, lifecycle } = cradle;

    const peer = await transport.listen(settings.peerListen);
    const server = await httpServer.listen(settings.listen.host, settings.listen.port);
    dispatch({ type: "tick" });
    const ticking = setInterval(() => dispatch({ type: "tick" }), tickMs);
    const reporting = setInterval(metricsReporter.report, metricsIntervalMs);
    const { router, incarnation, failureDomain } = cradle.identity;
    const { port } = server;
    logger.logEvent(daemonEvents.started, { router, incarnation, failureDomain, port, peerPort: peer.port });

    const close = async () => {
        await new Promise(resolve => setTimeout(resolve, lastWritesMs));
        clearInterval(ticking);
        clearInterval(reporting);
        metricsReporter.report();
        await Promise.all([transport.close(), cradle.targetClient.close(), cradle.platformClient.close()]);
        await cradle.metrics.close();
    };

    const drain = async () => {
        lifecycle.draining = true;
        const startedAt = cradle.getNow();
        logger.logEvent(daemonEvents.drainStarted, { router, requests: cradle.registry.count() });
        httpServer.startDrain();
        dispatch({ type: "drainRequested" });
        // The port stays open until the calls have ended, so that the balancer reads /readyz and new calls get `notRun`.
        const finished = stopped.then(httpServer.close).then(() => true);
        const limit = new Promise<boolean>(resolve => setTimeout(resolve, settings.drainTimeoutMs, false).unref());
        const isComplete = await Promise.race([finished, limit]);
        const durationMs = Math.round(cradle.getNow() - startedAt);
        const requests = cradle.registry.count();
        await close();
        if (isComplete) logger.logEvent(daemonEvents.drainFinished, { router, durationMs });
        else logger.logEvent(daemonEvents.drainTimedOut, { router, requests, timeoutMs: settings.drainTimeoutMs });
        return isComplete;
    };

    return { port: server.port, peerPort: peer.port, drain };
}
