/** Starts a router in this process, and drains it on shutdown. */
import { createRouter } from "./createRouter.js";
import { daemonLogEvents } from "./daemonLogEvents.js";
import type { Settings } from "./settings.js";

const tickMs = 100;
const metricsIntervalMs = 10_000;
// Leaves time to send the last responses and the messages that announce the departure to other routers.
const flushDelayMs = 100;

export interface RunningRouter {
    /** Port at which callers and operators connect. */
    readonly port: number;
    readonly peerPort: number;
    /** Fails readiness, waits for open calls and closes all connections. False if the drain timeout expired first. */
    readonly drain: () => Promise<boolean>;
}

export async function startRouter(settings: Settings, writeLog: (line: string) => void): Promise<RunningRouter> {
    let resolveStop: () => void = () => undefined;
    const stopped = new Promise<void>(resolve => (resolveStop = resolve));
    const { cradle } = createRouter(settings, { onStop: () => resolveStop(), writeLog });
    const { dispatch, transport, httpServer, logger, metricsReporter, lifecycle } = cradle;

    const peerListener = await transport.listen(settings.peerListen);
    const server = await httpServer.listen(settings.listen.host, settings.listen.port);
    dispatch({ type: "tick" });
    const tickTimer = setInterval(() => dispatch({ type: "tick" }), tickMs);
    const metricsTimer = setInterval(metricsReporter.report, metricsIntervalMs);
    const { router, incarnation, failureDomain } = cradle.identity;
    const { port } = server;
    logger.logEvent(daemonLogEvents.started, { router, incarnation, failureDomain, port, peerPort: peerListener.port });

    const close = async () => {
        await new Promise(resolve => setTimeout(resolve, flushDelayMs));
        clearInterval(tickTimer);
        clearInterval(metricsTimer);
        metricsReporter.report();
        await Promise.all([transport.close(), cradle.targetClient.close(), cradle.platformClient.close()]);
        await cradle.metrics.close();
    };

    const runDrain = async (): Promise<boolean> => {
        lifecycle.draining = true;
        const startedAt = cradle.getNow();
        logger.logEvent(daemonLogEvents.drainStarted, { router, requests: cradle.registry.count() });
        httpServer.startDrain();
        dispatch({ type: "drainRequested" });
        // The port stays open until all calls have ended: the load balancer reads /readyz, and new calls end as `notRun`.
        const closed = stopped.then(httpServer.close).then(() => true);
        const timeout = new Promise<boolean>(resolve => setTimeout(resolve, settings.drainTimeoutMs, false).unref());
        const isComplete = await Promise.race([closed, timeout]);
        const durationMs = Math.round(cradle.getNow() - startedAt);
        const requests = cradle.registry.count();
        await close();
        if (isComplete) logger.logEvent(daemonLogEvents.drainFinished, { router, durationMs });
        else logger.logEvent(daemonLogEvents.drainTimedOut, { router, requests, timeoutMs: settings.drainTimeoutMs });
        return isComplete;
    };

    let drained: Promise<boolean> | undefined;
    const drain = (): Promise<boolean> => {
        if (drained !== undefined) logger.logEvent(daemonLogEvents.drainRepeated, { router });
        drained ??= runDrain();
        return drained;
    };

    return { port: server.port, peerPort: peerListener.port, drain };
}
