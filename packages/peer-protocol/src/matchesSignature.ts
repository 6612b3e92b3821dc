/** Comparison of signatures. */
import { timingSafeEqual } from "node:crypto";

/** Compares in constant time. `receivedHex` that is not hexadecimal matches nothing. */
export function matchesSignature(expected: Buffer, receivedHex: string): boolean {
    const received = Buffer.from(receivedHex, "hex");
    return received.length === expected.length && timingSafeEqual(received, expected);
}
