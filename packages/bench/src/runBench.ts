/** Runs one benchmark by name; the last line of its output is one JSON object. */
import { runCold } from "./runCold.js";
import { runConfig } from "./runConfig.js";
import { runDomain } from "./runDomain.js";
import { runFairness } from "./runFairness.js";
import { runLatency } from "./runLatency.js";
import { runOnce } from "./runOnce.js";
import { runScale } from "./runScale.js";
import { runTakeover } from "./runTakeover.js";

const benchmarks: Readonly<Record<string, () => Promise<object>>> = {
    cold: runCold,
    config: runConfig,
    domain: runDomain,
    fairness: runFairness,
    latency: runLatency,
    once: runOnce,
    takeover: runTakeover,
    scale: runScale,
};

const name = process.argv[2] ?? "";
const run = benchmarks[name];
if (run === undefined) {
    console.error(`Unknown benchmark "${name}". Use one of: ${Object.keys(benchmarks).join(", ")}`);
    process.exitCode = 2;
}
else { console.log(JSON.stringify({ bench: name, ...await run() })); }
