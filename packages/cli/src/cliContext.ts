/** What a command gets from `runCli`, so that tests can replace all of it. */
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { createUsageError } from "./cliError.js";
import type { OperatorClient } from "./operatorClient.js";
import type { OutputFormat } from "./renderResources.js";

export interface CliIo {
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Content of a file; `-` is standard input. */
    readonly readFile: (path: string) => string;
    readonly wait: (durationMs: number) => Promise<void>;
    /** Aborted when the operator interrupts the command. */
    readonly signal: AbortSignal;
}

export interface CommandContext {
    readonly io: CliIo;
    readonly client: OperatorClient;
    readonly output: OutputFormat;
    /** Arguments after the name of the command. */
    readonly positionals: readonly string[];
    readonly file?: string;
    readonly wait: boolean;
    readonly timeoutMs: number;
}

export const resourceKinds = ["workspaces", "services", "failuredomains"] as const satisfies readonly ResourceKind[];

/** Accepts the singular too. */
export function readKind(text: string | undefined): ResourceKind {
    const kind = resourceKinds.find(name => name === text || name === `${text}s`);
    if (kind === undefined) throw createUsageError(`Name one of the kinds ${resourceKinds.join(", ")}.`);
    return kind;
}

export function readName(text: string | undefined): string {
    if (text === undefined || text === "") throw createUsageError("Name the resource after its kind.");
    return text;
}

export function checkPositionalCount(context: CommandContext, most: number): void {
    if (context.positionals.length > most) throw createUsageError("There are too many arguments.");
}
