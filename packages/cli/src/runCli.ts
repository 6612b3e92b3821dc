/** Command line tool for operators: parses the arguments, runs one command and returns the exit code. */
import { readBoundedFile } from "@rhubarbwheel/configuration-check/readBoundedFile";
import { readFileSync } from "node:fs";
import { setTimeout as waitFor } from "node:timers/promises";
import { parseArgs } from "node:util";
import type { CliIo, CommandContext } from "./cliContext.js";
import { CliError, createUsageError, exitCodes } from "./cliError.js";
import type { ExitCode } from "./cliError.js";
import { applyResources } from "./commands/applyResources.js";
import { checkFile } from "./commands/checkFile.js";
import { deleteResource } from "./commands/deleteResource.js";
import { getResource } from "./commands/getResource.js";
import { listResources } from "./commands/listResources.js";
import { printStatus } from "./commands/printStatus.js";
import { watchResources } from "./commands/watchResources.js";
import { writeCompletion } from "./commands/writeCompletion.js";
import { createOperatorClient } from "./operatorClient.js";
import type { OutputFormat } from "./renderResources.js";

type Environment = Readonly<Record<string, string | undefined>>;

const commands: Readonly<Record<string, (context: CommandContext) => Promise<void>>> = {
    apply: applyResources,
    get: getResource,
    list: listResources,
    watch: watchResources,
    delete: deleteResource,
    status: printStatus,
};

const help = `Usage: rhubarbwheel COMMAND [flags]

Commands:
  check FILE               Check the resources in a JSON file; "-" is standard input. Nothing is sent.
  apply -f FILE [--wait]   Create or update the resources in a JSON file; "-" is standard input.
  get KIND [NAME]          Show one resource, or all of a kind.
  list KIND                Show all resources of a kind.
  watch KIND               Show resources and their changes until interrupted.
  delete KIND NAME         Delete a resource.
  status                   Show routers, targets and backlogged workspaces.
  completion bash          Print a completion script.

Kinds: workspaces, services, failuredomains

Flags:
  --router URL,...         Routers to try in turn. Also RHUBARBWHEEL_ROUTER.
  --token-file FILE        File with the operator token. RHUBARBWHEEL_OPERATOR_TOKEN may hold the token instead.
  -o, --output FORMAT      json, table or names. Default table. check prints text by default.
  --against SOURCE         Also report differences from this configuration: URLs of routers, or a file.
  -f, --file FILE          File to apply.
  --wait                   Wait until the change is in force on all routers.
  --timeout SECONDS        Timeout of --wait. Default 30.
  --help                   Print this text.

Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 conflict with another change, 4 not run, 5 unknown whether
the change took effect or is in force.
Exit codes of check: 0 no findings, 1 findings, 2 wrong usage, or a configuration that cannot be read.
`;

const flags = {
    router: { type: "string" },
    "token-file": { type: "string" },
    output: { type: "string", short: "o" },
    against: { type: "string" },
    file: { type: "string", short: "f" },
    wait: { type: "boolean" },
    timeout: { type: "string" },
    help: { type: "boolean" },
} as const;

export async function runCli(argv: readonly string[], environment: Environment, io: CliIo): Promise<ExitCode> {
    try {
        return await runCommand(argv, environment, io) ?? exitCodes.ok;
    }
    catch (error) {
        const cliError = error instanceof CliError ? error : convertUnexpectedError(error, io.signal.aborted);
        io.writeError(`error ${cliError.code}: ${cliError.message}\nhint: ${cliError.hint}\n`);
        return cliError.exitCode;
    }
}

/** Returns an exit code other than 0 that is not an error. */
async function runCommand(
    argv: readonly string[],
    environment: Environment,
    io: CliIo,
): Promise<ExitCode | undefined> {
    const { values, positionals: [name = "", ...positionals] } = parseArguments(argv);
    if (values.help) {
        io.writeOutput(help);
        return;
    }
    if (name === "completion") {
        writeCompletion(positionals, ["check", ...Object.keys(commands), "completion"], io.writeOutput);
        return;
    }
    const createClient = (routers: string | undefined) =>
        createOperatorClient({
            routers: parseRouters(routers),
            token: readToken(values["token-file"], environment.RHUBARBWHEEL_OPERATOR_TOKEN, io),
            signal: io.signal,
        });
    if (name === "check") {
        return await checkFile({
            io,
            files: values.file === undefined ? positionals : [values.file, ...positionals],
            output: parseOutputFormat(values.output),
            createClient,
            ...(values.against === undefined ? {} : { against: values.against }),
        });
    }
    const run = Object.hasOwn(commands, name) ? commands[name] : undefined;
    if (run === undefined) throw createUsageError(name === "" ? "Name a command." : `There is no command ${name}.`);
    await run({
        io,
        client: createClient(values.router ?? environment.RHUBARBWHEEL_ROUTER),
        output: parseOutputFormat(values.output),
        positionals,
        wait: values.wait ?? false,
        timeoutMs: parseTimeoutMs(values.timeout),
        ...(values.file === undefined ? {} : { file: values.file }),
    });
    return undefined;
}

function parseArguments(argv: readonly string[]) {
    try {
        return parseArgs({ args: [...argv], options: flags, allowPositionals: true });
    }
    catch (error) {
        throw createUsageError(`${(error as Error).message.split(". ")[0]}.`);
    }
}

function parseRouters(text: string | undefined): readonly string[] {
    const routers = (text ?? "").split(",").map(part => part.trim()).filter(part => part !== "");
    if (routers.length === 0) throw createUsageError("Name a router with --router URL or RHUBARBWHEEL_ROUTER.");
    return routers.map(router => {
        const url = URL.canParse(router) ? new URL(router) : undefined;
        if (url === undefined || !/^https?:$/.test(url.protocol))
            throw createUsageError("--router is not a list of http or https URLs.");
        return url.origin;
    });
}

function readToken(file: string | undefined, token: string | undefined, io: CliIo): string {
    const text = (file === undefined ? token ?? "" : io.readFile(file)).trim();
    if (text === "")
        throw createUsageError("Set RHUBARBWHEEL_OPERATOR_TOKEN, or --token-file to a file with the token.");
    return text;
}

function parseOutputFormat(text = "table"): OutputFormat {
    if (text === "json" || text === "table" || text === "names") return text;
    throw createUsageError("--output is none of json, table, names.");
}

function parseTimeoutMs(text = "30"): number {
    const seconds = Number(text);
    if (!(seconds > 0)) throw createUsageError("--timeout is not a number of seconds above 0.");
    return seconds * 1_000;
}

function convertUnexpectedError(error: unknown, isInterrupted: boolean): CliError {
    if (isInterrupted) {
        const hint = "Check with status and get before running the command again.";
        return new CliError(exitCodes.unknown, "INTERRUPTED", "The command was interrupted.", hint);
    }
    const { code, message } = error as NodeJS.ErrnoException;
    if (code === "ENOENT" || code === "EACCES" || code === "EISDIR") return createUsageError(message);
    return new CliError(
        exitCodes.refused,
        "INTERNAL",
        String(message),
        "Report this error with the command that you ran.",
    );
}

/** Entry point of the `rhubarbwheel` command. */
export async function main(): Promise<void> {
    const interruptController = new AbortController();
    process.once("SIGINT", () => interruptController.abort());
    process.once("SIGTERM", () => interruptController.abort());
    // A reader such as head may close the pipe before all output is written.
    process.stdout.on("error", () => process.exit(exitCodes.ok));
    process.exitCode = await runCli(process.argv.slice(2), process.env, {
        writeOutput: text => void process.stdout.write(text),
        writeError: text => void process.stderr.write(text),
        readFile: path => readFileSync(path === "-" ? 0 : path, "utf8"),
        readBytes: readBoundedFile,
        wait: durationMs =>
            waitFor(durationMs, undefined, { signal: interruptController.signal }).catch(() => undefined),
        signal: interruptController.signal,
    });
}
