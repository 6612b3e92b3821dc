/** Fingerprint of a call, used to detect an idempotency key that is reused for a different call. */
import type { Call } from "@rhubarbwheel/types/ports";
import { createHash } from "node:crypto";

/** SHA-256 (hex) of service, method, path and body. */
export function computeFingerprint(
    call: Pick<Call, "service" | "method" | "path"> & { readonly body: Uint8Array; },
): string {
    // JSON encoding separates the fields unambiguously, whatever characters they contain.
    return createHash("sha256").update(JSON.stringify([call.service, call.method, call.path])).update("\n")
        .update(call.body).digest("hex");
}
