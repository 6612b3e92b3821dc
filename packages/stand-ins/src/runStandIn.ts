/** Runs a stand-in as a process: parses flags, listens, prints the port as one JSON line and exits on SIGTERM. */
import { parseArgs } from "node:util";

export interface RunnableStandIn {
    readonly listen: (port: number) => Promise<{ readonly port: number; }>;
    readonly close: () => Promise<void>;
}

/** Parses `--name=number` flags; every option of a stand-in is a number. An unknown flag is an error. */
export function readNumberFlags<Name extends string>(names: readonly Name[]): Partial<Record<Name | "port", number>> {
    const options = Object.fromEntries([...names, "port"].map(name => [name, { type: "string" as const }]));
    const { values } = parseArgs({ options });
    const entries = Object.entries(values).map(([name, text]) => {
        const value = Number(text);
        if (text === "" || !Number.isFinite(value)) throw new Error(`--${name} is not a number`);
        return [name, value];
    });
    return Object.fromEntries(entries) as Partial<Record<Name | "port", number>>;
}

export async function runStandIn(standIn: RunnableStandIn, port: number): Promise<void> {
    const stop = (): void => {
        standIn.close().finally(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    const listening = await standIn.listen(port);
    process.stdout.write(`${JSON.stringify({ listening: listening.port })}\n`);
}
