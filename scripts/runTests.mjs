/**
 * Runs every `*.test.js` file under `packages` and `platform`, each in its own process, so that files share no state.
 * Test files listed in KNOWN-RED.txt are run and printed, but do not affect the exit code.
 */
import { spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join } from "node:path";

const fileTimeoutMs = 180_000;
const workerCount = Math.max(2, Math.floor(availableParallelism() / 2));

function listTestFiles() {
    return [...readdirSync("packages").map(name => join("packages", name)), "platform"]
        .map(folder => join(folder, "lib", "test"))
        .filter(folder => existsSync(folder))
        .flatMap(folder => readdirSync(folder, { recursive: true }).map(file => join(folder, file)))
        .filter(file => file.endsWith(".test.js"))
        .filter(file => existsSync(file.replace("/lib/test/", "/test/").replace(/\.js$/, ".ts")))
        .sort();
}

/** Returns the test files listed on the `test:` lines of KNOWN-RED.txt. */
function readKnownRedFiles() {
    if (!existsSync("KNOWN-RED.txt")) return new Set();
    const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter(line => line.startsWith("test: "));
    return new Set(lines.map(line => line.slice("test: ".length).trim()));
}

function runFile(file) {
    return new Promise(resolve => {
        const child = spawn(process.execPath, ["--enable-source-maps", file], { stdio: ["ignore", "pipe", "pipe"] });
        let output = "";
        child.stdout.on("data", chunk => (output += chunk));
        child.stderr.on("data", chunk => (output += chunk));
        const timer = setTimeout(() => child.kill("SIGKILL"), fileTimeoutMs);
        child.on("close", code => {
            clearTimeout(timer);
            const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
            const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
            const failed = Math.max(total - passed, code === 0 && total > 0 ? 0 : 1);
            resolve({ file, output, passed, failed });
        });
    });
}

async function runAll(files, onResult) {
    const queue = [...files];
    const runWorker = async () => {
        for (let file = queue.shift(); file !== undefined; file = queue.shift()) onResult(await runFile(file));
    };
    await Promise.all(Array.from({ length: workerCount }, runWorker));
}

const filter = process.argv[2] ?? "";
const knownRedFiles = readKnownRedFiles();
const totals = { passed: 0, failed: 0, knownRed: 0 };
await runAll(listTestFiles().filter(file => file.includes(filter)), result => {
    const source = result.file.replace("/lib/test/", "/test/").replace(/\.js$/, ".ts");
    if (knownRedFiles.has(source)) {
        totals.knownRed += 1;
        console.log(`known red ${source}: ${result.passed} passed, ${result.failed} failed`);
        return;
    }
    totals.passed += result.passed;
    totals.failed += result.failed;
    console.log(`${result.failed === 0 ? "ok  " : "FAIL"} ${source} (${result.passed} passed)`);
    if (result.failed > 0) console.log(result.output);
});
if (totals.knownRed > 0)
    console.log(`${totals.knownRed} test files listed in KNOWN-RED.txt do not affect the exit code`);
console.log(`${totals.passed} passed, ${totals.failed} failed`);
process.exitCode = totals.failed > 0 || totals.passed === 0 ? 1 : 0;
