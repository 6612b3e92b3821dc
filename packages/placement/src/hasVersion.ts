import { getVersion } from "@rhubarbwheel/fleet-view/createVersionFilter";
import type { TargetEntry } from "@rhubarbwheel/types/fleet";

/** Whether a target may continue a stream that `version` of its service has begun; any target if that is omitted. */
export function hasVersion(target: TargetEntry, version: string | undefined): boolean {
    return version === undefined || getVersion(target) === version;
}
