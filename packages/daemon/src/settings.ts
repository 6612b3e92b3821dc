/** Types of the daemon's settings. */
import type { HostPort, Seed } from "./settingsTable.js";

/** Durations are in milliseconds, sizes in bytes. */
export interface Settings {
    readonly routerName: string;
    readonly failureDomain: string;
    readonly listen: HostPort;
    /** `ip:port`. */
    readonly peerListen: string;
    /** `ip:port` at which other routers reach this one. */
    readonly peerAddress: string;
    readonly platform: readonly string[];
    readonly seeds: readonly Seed[];
    readonly operatorToken: string;
    readonly fleetSecret: string;
    readonly peerTls?: { readonly certificate: Buffer; readonly key: Buffer; readonly authority: Buffer; };
    readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
    readonly logFormat: "json" | "text";
    readonly statsd?: HostPort;
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly maxOpenCalls: number;
    readonly maxOpenCallsPerWorkspace: number;
    readonly maxConnections: number;
    readonly slowReaderTimeoutMs: number;
    readonly drainTimeoutMs: number;
    readonly idempotencyRecords: number;
    readonly idempotencyBytes: number;
    /** Text and source of each setting that is set, without secrets. */
    readonly effective: readonly EffectiveSetting[];
}

export interface EffectiveSetting {
    readonly flag: string;
    readonly text: string;
    readonly source: "flag" | "variable" | "default";
}

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;
