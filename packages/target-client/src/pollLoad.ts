/** Reads the load report of a target. */
import type { PollResult } from "@rhubarbwheel/types/ports";
import type { Dispatcher } from "undici";

export interface PollOptions {
    readonly dispatcher: Dispatcher;
    readonly clock: () => number;
    readonly timeoutMs: number;
}

/** Largest load report that is read. */
const maxReportBytes = 65_536;

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/** Returns a report, or `undefined` when the text is not one. */
export function parseLoad(
    text: string,
): { startId: string; running: number; queued: number; sampledAgeMs: number; } | undefined {
    try {
        const { startId, running, queued, sampledAgeMs } = JSON.parse(text) as Record<string, unknown>;
        const isValid = typeof startId === "string" && startId !== "" && isCount(running) && isCount(queued)
            && isCount(sampledAgeMs);
        return isValid ? { startId, running, queued, sampledAgeMs } : undefined;
    }
    catch {
        return undefined;
    }
}

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of body) {
        size += chunk.length;
        if (size > maxReportBytes) throw new Error("load report over the size limit");
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

export async function pollLoad(target: string, address: string, opts: PollOptions): Promise<PollResult> {
    const askedAt = opts.clock();
    try {
        const { origin, pathname } = new URL(address);
        const { statusCode, body } = await opts.dispatcher.request({
            origin,
            path: `${pathname.replace(/\/$/, "")}/load`,
            method: "GET",
            signal: AbortSignal.timeout(opts.timeoutMs),
        });
        const load = parseLoad(await readText(body));
        if (statusCode !== 200 || load === undefined) return { type: "unavailable", refused: false };
        const { startId, running, queued, sampledAgeMs } = load;
        // The whole round trip counts as age, because the sample may have been taken just before the request arrived.
        const ageMs = sampledAgeMs + Math.max(0, opts.clock() - askedAt);
        return { type: "reported", report: { target, startId, running, queued, ageMs } };
    }
    catch (error) {
        return { type: "unavailable", refused: (error as { readonly code?: unknown; }).code === "ECONNREFUSED" };
    }
}
