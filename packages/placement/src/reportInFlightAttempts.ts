/** Reports in-flight attempts to the coordinators of their pools. */
import type { InFlightAttempt } from "@rhubarbwheel/types/placement";
import type { EntryContext, EntryRequest } from "./entryState.js";
import { maxAttemptsPerReport } from "./placementSettings.js";

function createInFlightAttempt(
    context: EntryContext,
    { request, attempt, deadlineAt }: EntryRequest,
): InFlightAttempt | undefined {
    if (attempt === undefined || attempt.cancelled) return undefined;
    return {
        requestId: request.requestId,
        target: attempt.target,
        workspace: request.workspace,
        promptTokens: request.prompt?.promptTokens ?? 0,
        outputTokens: request.prompt?.outputTokens ?? 0,
        expectedOutputTokens: request.prompt?.expectedOutputTokens,
        newTokens: attempt.newTokens,
        ageMs: context.now - attempt.sentAt,
        timeLeftMs: deadlineAt - context.now,
        started: attempt.startedAt !== undefined,
        eventCount: attempt.eventCount,
    };
}

/** Sends the in-flight attempts of these requests, in batches per pool. */
export function reportInFlightAttempts(context: EntryContext, entries: Iterable<EntryRequest>): void {
    const byService = new Map<string, InFlightAttempt[]>();
    for (const entry of entries) {
        const inFlight = createInFlightAttempt(context, entry);
        if (inFlight === undefined) continue;
        const { service } = entry.request;
        const attempts = byService.get(service);
        if (attempts === undefined) byService.set(service, [inFlight]);
        else attempts.push(inFlight);
    }
    for (const [service, attempts] of byService) {
        const coordinator = context.coordinators.find(service, context.now);
        if (coordinator === undefined) continue;
        const { router, address } = coordinator;
        for (let start = 0; start < attempts.length; start += maxAttemptsPerReport) {
            const batch = attempts.slice(start, start + maxAttemptsPerReport);
            const message = { type: "holdings", service, holdings: batch } as const;
            context.effects.push({ type: "sendToRouter", router, address, message });
        }
    }
}
