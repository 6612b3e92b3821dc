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
    let isDraining = false;
    const startDrain = () => {
        isDraining = true;
        void drain().then(isComplete => process.exit(isComplete ? exitCodes.ok : exitCodes.drainIncomplete));
    };
    // Supervisors repeat SIGTERM, and it does not cut the drain short.
    process.on("SIGTERM", startDrain);
    // On a terminal, the second Ctrl-C ends the process.
    process.on("SIGINT", () => {
        if (isDraining) process.exit(exitCodes.drainIncomplete);
        startDrain();
    });
}

try {
    const exitCode = await runDaemon();
    if (exitCode !== undefined) process.exitCode = exitCode;
}
catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = exitCodes.failed;
}
