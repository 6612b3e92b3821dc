/** Tells coordinators of the attempts that go on in their pools. */
import type { InFlightAttempt } from "@rhubarbwheel/types/placement";
import type { EntryContext, EntryRequest } from "./entryState.js";
import { maxAttemptsPerReport } from "./placementSettings.js";

function describeInFlightAttempt(
    context: EntryContext,
    { request, attempt }: EntryRequest,
): InFlightAttempt | undefined {
    if (attempt === undefined || attempt.cancelled) return undefined;
    return {
        requestId: request.requestId,
        target: attempt.target,
        workspace: request.workspace,
        promptTokens: request.prompt?.promptTokens ?? 0,
        outputTokens: request.prompt?.outputTokens ?? 0,
        newTokens: attempt.newTokens,
        ageMs: context.now - attempt.sentAt,
        started: attempt.startedAt !== undefined,
    };
}

/** Reports the attempts of these requests to the coordinators of their pools. */
export function reportInFlightAttempts(context: EntryContext, entries: Iterable<EntryRequest>): void {
    const byService = new Map<string, InFlightAttempt[]>();
    for (const entry of entries) {
        const holding = describeInFlightAttempt(context, entry);
        if (holding === undefined) continue;
        const { service } = entry.request;
        const listed = byService.get(service);
        if (listed === undefined) byService.set(service, [holding]);
        else listed.push(holding);
    }
    for (const [service, holdings] of byService) {
        const coordinator = context.coordinators.find(service, context.now);
        if (coordinator === undefined) continue;
        const { router, address } = coordinator;
        for (let start = 0; start < holdings.length; start += maxAttemptsPerReport) {
            const part = holdings.slice(start, start + maxAttemptsPerReport);
            const message = { type: "holdings", service, holdings: part } as const;
            context.effects.push({ type: "sendToRouter", router, address, message });
        }
    }
}
