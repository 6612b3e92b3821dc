#!/usr/bin/env node
/** Entry point of the daemon `rhubarbwheeld`. */
import { parseSettings, readSettingsAction } from "./parseSettings.js";
import { renderHelp, renderProblems, renderSettings } from "./renderSettings.js";
import { startRouter } from "./startRouter.js";

const exitCodes = { ok: 0, failed: 1, usage: 2, drainIncomplete: 3 } as const;

async function runDaemon(): Promise<number | undefined> {
    const argv = process.argv.slice(2);
    const action = readSettingsAction(argv);
    if (action === "help") {
        process.stdout.write(renderHelp());
        return exitCodes.ok;
    }
    const settings = parseSettings(argv, process.env);
    if (settings.err) {
        process.stderr.write(renderProblems(settings.val));
        return exitCodes.usage;
    }
    if (action === "checkSettings") {
        process.stdout.write(renderSettings(settings.val));
        return exitCodes.ok;
    }
    const router = await startRouter(settings.val, line => process.stderr.write(line));
    process.stdout.write(`${JSON.stringify({ listening: router.port, peer: router.peerPort })}\n`);
    handleSignals(router.drain);
    return undefined;
}

function handleSignals(drain: () => Promise<boolean>) {
    let draining = false;
    const onSignal = () => {
        if (draining) process.exit(exitCodes.drainIncomplete);
        draining = true;
        void drain().then(isComplete => process.exit(isComplete ? exitCodes.ok : exitCodes.drainIncomplete));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}

try {
    const exitCode = await runDaemon();
    if (exitCode !== undefined) process.exitCode = exitCode;
}
catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = exitCodes.failed;
}
