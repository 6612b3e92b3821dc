/** Converts an attempt that its entry router reports to an assignment of the coordinator. */
import type { InFlightAttempt } from "@rhubarbwheel/types/placement";
import type { Assignment } from "./assignment.js";
import { inFlightExpiryMs } from "./placementSettings.js";

export function convertReportedAttempt(attempt: InFlightAttempt, now: number): Assignment {
    const { ageMs, timeLeftMs, started, ...rest } = attempt;
    return {
        ...rest,
        assignedAt: now - ageMs,
        startedAt: started ? now : undefined,
        deadlineAt: now + (timeLeftMs ?? Infinity),
        expiresAt: now + inFlightExpiryMs,
    };
}
