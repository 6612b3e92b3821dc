/** Benchmark `scale`: how CPU time, memory and traffic of each role grow with the size of the fleet. */
import { measureCodec } from "./scale/measureCodec.js";
import { measureConfiguration } from "./scale/measureConfiguration.js";
import { measureCoordinator } from "./scale/measureCoordinator.js";
import { measureEntry } from "./scale/measureEntry.js";
import { measureMembership } from "./scale/measureMembership.js";
import { measureRelay } from "./scale/measureRelay.js";
import { measureStream } from "./scale/measureStream.js";

type Figures = Readonly<Record<string, number>>;

const measurements: Readonly<Record<string, () => Figures | Promise<Figures>>> = {
    stream: measureStream,
    relay: measureRelay,
    codec: measureCodec,
    entry: measureEntry,
    coordinator: measureCoordinator,
    membership: measureMembership,
    configuration: measureConfiguration,
};

const significantDigits = 3;

export async function runScale(): Promise<object> {
    const figures: Record<string, number> = {};
    for (const [name, measure] of Object.entries(measurements)) {
        const startedAt = performance.now();
        const measured = await measure();
        console.log(`${name}: ${Math.round(performance.now() - startedAt)} ms`);
        for (const [figure, value] of Object.entries(measured)) {
            figures[figure] = Number(value.toPrecision(significantDigits));
            console.log(`  ${figure} ${figures[figure]}`);
        }
    }
    return figures;
}
