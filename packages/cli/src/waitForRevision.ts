/** Waits until a revision is in force on all routers. */
import type { CommandContext } from "./cliContext.js";
import { CliError, exitCodes } from "./cliError.js";
import type { RouterStatus } from "./routerStatus.js";

/** Short compared with the goal of 2 s for a change to be in force, and cheap for the router. */
const pollIntervalMs = 200;

/** Adds up poll intervals instead of reading a clock, so that the result depends only on the router's responses. */
export async function waitForRevision(context: CommandContext, revision: number): Promise<void> {
    let outdated: readonly string[] = [];
    for (let waitedMs = 0; waitedMs <= context.timeoutMs; waitedMs += pollIntervalMs) {
        outdated = listOutdatedRouters(await context.client.readStatus(), revision);
        if (outdated.length === 0) {
            context.io.writeError(`revision ${revision} is in force on all routers\n`);
            return;
        }
        await context.io.wait(pollIntervalMs);
    }
    throw new CliError(
        exitCodes.unknown,
        "WAIT_TIMEOUT",
        `Revision ${revision} is accepted, but not yet known to be in force on ${outdated.join(", ")}.`,
        "Check these routers with: rhubarbwheel status",
    );
}

/** Ignores routers that are dead or have left, because they serve no calls. */
function listOutdatedRouters(status: RouterStatus, revision: number): readonly string[] {
    const others = status.members
        .filter(member => member.router !== status.router)
        .filter(member => member.state === "alive" || member.state === "suspect")
        .filter(member => (member.revision ?? -1) < revision)
        .map(member => member.router);
    return status.revision < revision ? [status.router, ...others] : others;
}
