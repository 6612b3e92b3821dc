/** Time for which streams of a service can be resumed after another version has appeared or left. */
import type { FleetConfiguration } from "@rhubarbwheel/types/fleet";

/** Addition to the longest timeout of a stream: a caller's last try begins before it, and clocks and lists lag. */
const marginRatio = 0.25;
const marginMs = 2_000;

const windows = new WeakMap<FleetConfiguration, ReadonlyMap<string, number>>();

/** Longest timeout of the resumable streams of each service; computed once per configuration. */
function getMaxTimeouts(configuration: FleetConfiguration): ReadonlyMap<string, number> {
    const existing = windows.get(configuration);
    if (existing !== undefined) return existing;
    const maxByService = new Map<string, number>();
    for (const { kind, resumable, timeoutMs, destinations } of configuration.routes) {
        if (kind !== "stream" || !resumable) continue;
        for (const { service } of destinations)
            maxByService.set(service, Math.max(maxByService.get(service) ?? 0, timeoutMs));
    }
    windows.set(configuration, maxByService);
    return maxByService;
}

/** `undefined` for a service without resumable streams. */
export function computeStreamWindowMs(
    configuration: FleetConfiguration | undefined,
    service: string,
): number | undefined {
    const timeoutMs = configuration === undefined ? undefined : getMaxTimeouts(configuration).get(service);
    return timeoutMs === undefined ? undefined : timeoutMs * (1 + marginRatio) + marginMs;
}
