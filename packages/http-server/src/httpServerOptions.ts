/** What the HTTP server needs from the rest of the router. Everything is passed in, so that it can be tested alone. */
import type { Call, PlatformClient } from "@rhubarbwheel/types/ports";
import type { Resource, ResourceKind, ResourceOf, ResourceSpecs } from "@rhubarbwheel/types/resources";
import type { ConfigurationQueries } from "@rhubarbwheel/types/slices";
import type { Result } from "ts-results";

export interface FieldProblem {
    readonly field: string;
    readonly problem: string;
    readonly remedy: string;
}

export interface HttpConfiguration
    extends Pick<ConfigurationQueries, "listServices" | "getService" | "getWorkspace" | "getFreshness"> {
    /** Resources that the router holds; tombstones may be included. */
    readonly listResources: <K extends ResourceKind>(kind: K) => readonly ResourceOf<K>[];
    /** Any number that changes whenever the answers of the other functions may change. */
    readonly getRevision: () => number;
}

export interface HttpLimits {
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    /** Most open calls of all workspaces together. */
    readonly maxOpenCalls: number;
    readonly maxOpenCallsPerWorkspace: number;
    readonly maxConnections: number;
    /** A caller that has not read what was sent to it for this long is cut off. */
    readonly slowReaderTimeoutMs: number;
    /** Most bytes held back for one caller. */
    readonly maxBufferedBytes: number;
}

export interface HttpServerOptions {
    readonly configuration: HttpConfiguration;
    readonly submitCall: (call: Call) => void;
    /** The caller hung up before the call ended. */
    readonly cancelCall: (requestId: string) => void;
    readonly mintKey: () => string;
    readonly createId: () => string;
    readonly writeResource: PlatformClient["writeResource"];
    readonly readResource: PlatformClient["readResource"];
    readonly listConfiguration: PlatformClient["readConfiguration"];
    /** Reports every resource changed after the revision, then each further change, until the returned function is called. */
    readonly watchResources: (afterRevision: number, onChange: (resource: Resource) => void) => () => void;
    readonly getStatus: () => object;
    readonly getReadiness: () => { readonly ready: boolean; readonly reason: string; };
    readonly operatorToken: string;
    readonly limits: HttpLimits;
    readonly validateResource: (
        kind: ResourceKind,
        name: string,
        spec: unknown,
    ) => Result<ResourceSpecs[ResourceKind], readonly FieldProblem[]>;
    /** Told of each error behind an `INTERNAL` answer, for the log. */
    readonly reportError?: (requestId: string, error: unknown) => void;
}

export interface HttpServer {
    readonly listen: (host: string, port: number) => Promise<{ readonly port: number; }>;
    /** From now on each answer closes its connection; new connections are still accepted, so that callers get an answer. */
    readonly startDrain: () => void;
    /** Stops accepting connections and resolves when the open calls have ended. */
    readonly close: () => Promise<void>;
}
