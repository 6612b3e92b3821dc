/** Arguments and I/O functions that `runCli` passes to a command. Tests replace the I/O functions. */
import { findKind, resourceKinds } from "@rhubarbwheel/configuration-check/parseEntries";
import type { ResourceKind } from "@rhubarbwheel/types/resources";
import { createUsageError } from "./cliError.js";
import type { OperatorClient } from "./operatorClient.js";
import type { OutputFormat } from "./renderResources.js";

export interface CliIo {
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
    /** Returns the content of a file; `-` is standard input. */
    readonly readFile: (path: string) => string;
    /** Like `readFile`, but without decoding, and at most one byte more than `maxBytes`. */
    readonly readBytes: (path: string, maxBytes: number) => Uint8Array;
    readonly wait: (durationMs: number) => Promise<void>;
    /** Aborted when the operator interrupts the command. */
    readonly signal: AbortSignal;
}

export interface CommandContext {
    readonly io: CliIo;
    readonly client: OperatorClient;
    readonly output: OutputFormat;
    /** Arguments after the command name. */
    readonly positionals: readonly string[];
    readonly file?: string;
    readonly wait: boolean;
    readonly timeoutMs: number;
}

/** Also accepts the singular. */
export function parseKind(text: string | undefined): ResourceKind {
    const kind = findKind(text);
    if (kind === undefined) throw createUsageError(`Name one of the kinds ${resourceKinds.join(", ")}.`);
    return kind;
}

export function parseName(text: string | undefined): string {
    if (text === undefined || text === "") throw createUsageError("Name the resource after its kind.");
    return text;
}

export function checkPositionalCount(context: CommandContext, maxCount: number): void {
    if (context.positionals.length > maxCount) throw createUsageError("There are too many arguments.");
}
