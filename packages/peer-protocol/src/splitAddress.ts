/** Splits `ip:port`. */
export function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const at = address.lastIndexOf(":");
    return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
