/** Runs one benchmark by name; the last line of its output is one JSON object. */
import { runDomain } from "./runDomain.js";
import { runFairness } from "./runFairness.js";

const benchmarks: Readonly<Record<string, () => Promise<object>>> = {
    domain: runDomain,
    fairness: runFairness,
};

const name = process.argv[2] ?? "";
const run = benchmarks[name];
if (run === undefined) {
    console.error(`Unknown benchmark "${name}". Use one of: ${Object.keys(benchmarks).join(", ")}`);
    process.exitCode = 2;
}
else { console.log(JSON.stringify({ bench: name, ...await run() })); }
