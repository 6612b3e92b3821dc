/** Starts a Node.js script of this repository as a child process and waits until it listens. */
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";

export interface RunningProcess {
    readonly name: string;
    readonly pid: number;
    readonly port: number;
    readonly sendSignal: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code when the process ends, or with `undefined` after a signal. */
    readonly exited: Promise<number | undefined>;
    /** Sends SIGTERM, then SIGKILL if the process has not ended before the timeout. */
    readonly stop: () => Promise<number | undefined>;
    /** Returns the end of what the process wrote to standard error. */
    readonly readStderr: () => string;
}

export interface StartProcessOptions {
    readonly name: string;
    readonly script: string;
    readonly arguments: readonly string[];
    readonly environment?: Readonly<Record<string, string>>;
}

const startTimeoutMs = 15_000;
const stopTimeoutMs = 15_000;
// Each child process adds an `exit` listener, which would trigger the listener leak warning.
process.setMaxListeners(0);

const maxStderrCharacters = 4_000;

export async function startProcess(opts: StartProcessOptions): Promise<RunningProcess> {
    const child = spawn(process.execPath, [opts.script, ...opts.arguments], {
        env: { ...process.env, ...opts.environment },
        stdio: ["ignore", "pipe", "pipe"],
    });
    // Prevents an orphaned child when this process exits first.
    const killOnExit = () => void child.kill("SIGKILL");
    process.once("exit", killOnExit);
    let stderrTail = "";
    child.stderr.on(
        "data",
        (chunk: Buffer) => (stderrTail = (stderrTail + chunk.toString()).slice(-maxStderrCharacters)),
    );
    const exited = new Promise<number | undefined>(resolve =>
        child.on("close", code => {
            process.removeListener("exit", killOnExit);
            resolve(code ?? undefined);
        })
    );
    const port = await new Promise<number>((resolve, reject) => {
        const fail = (reason: string) => reject(new Error(`${opts.name} ${reason}: ${stderrTail}`));
        const timer = setTimeout(() => fail("did not report its port before the timeout"), startTimeoutMs);
        void exited.then(code => fail(`ended with code ${code}`));
        createInterface({ input: child.stdout }).on("line", line => {
            const listeningPort = parseListeningPort(line);
            if (listeningPort === undefined) return;
            clearTimeout(timer);
            resolve(listeningPort);
        });
    });
    const sendSignal = (signal: NodeJS.Signals) => void child.kill(signal);
    const stop = () => {
        sendSignal("SIGTERM");
        const timer = setTimeout(() => sendSignal("SIGKILL"), stopTimeoutMs);
        return exited.finally(() => clearTimeout(timer));
    };
    return { name: opts.name, pid: child.pid ?? 0, port, sendSignal, exited, stop, readStderr: () => stderrTail };
}

function parseListeningPort(line: string): number | undefined {
    if (!line.startsWith("{\"listening\":")) return undefined;
    return (JSON.parse(line) as { listening: number; }).listening;
}
