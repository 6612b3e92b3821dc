/** Starts a Node.js program of this repository as a child process and waits until it listens. */
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";

export interface RunningProcess {
    readonly name: string;
    readonly pid: number;
    readonly port: number;
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code once the process has ended, or `undefined` after a signal. */
    readonly exited: Promise<number | undefined>;
    /** Sends SIGTERM, then SIGKILL if the process is still there after the limit. */
    readonly stop: () => Promise<number | undefined>;
    /** Last lines that the process wrote to standard error. */
    readonly readErrors: () => string;
}

export interface StartProcessOptions {
    readonly name: string;
    readonly script: string;
    readonly arguments: readonly string[];
    readonly environment?: Readonly<Record<string, string>>;
}

const startLimitMs = 15_000;
const stopLimitMs = 15_000;
// Each process of a fleet adds a listener.
process.setMaxListeners(0);

const keptErrorCharacters = 4_000;

export async function startProcess(opts: StartProcessOptions): Promise<RunningProcess> {
    const child = spawn(process.execPath, [opts.script, ...opts.arguments], {
        env: { ...process.env, ...opts.environment },
        stdio: ["ignore", "pipe", "pipe"],
    });
    // A launcher that ends early leaves no process behind.
    const killAtExit = () => void child.kill("SIGKILL");
    process.once("exit", killAtExit);
    let errors = "";
    child.stderr.on("data", (chunk: Buffer) => (errors = (errors + chunk.toString()).slice(-keptErrorCharacters)));
    const exited = new Promise<number | undefined>(resolve =>
        child.on("close", code => {
            process.removeListener("exit", killAtExit);
            resolve(code ?? undefined);
        })
    );
    const port = await new Promise<number>((resolve, reject) => {
        const fail = (reason: string) => reject(new Error(`${opts.name} ${reason}: ${errors}`));
        const timer = setTimeout(() => fail("did not start in time"), startLimitMs);
        void exited.then(code => fail(`ended with code ${code}`));
        createInterface({ input: child.stdout }).on("line", line => {
            const listening = parseListening(line);
            if (listening === undefined) return;
            clearTimeout(timer);
            resolve(listening);
        });
    });
    const signal = (name: NodeJS.Signals) => void child.kill(name);
    const stop = () => {
        signal("SIGTERM");
        const timer = setTimeout(() => signal("SIGKILL"), stopLimitMs);
        return exited.finally(() => clearTimeout(timer));
    };
    return { name: opts.name, pid: child.pid ?? 0, port, signal, exited, stop, readErrors: () => errors };
}

function parseListening(line: string): number | undefined {
    if (!line.startsWith("{\"listening\":")) return undefined;
    return (JSON.parse(line) as { listening: number; }).listening;
}
