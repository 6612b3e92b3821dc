/** Options and dependencies of the HTTP server; injecting all of them allows tests without the rest of the router. */
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
    /** Resources in the router's configuration; may include tombstones. */
    readonly listResources: <K extends ResourceKind>(kind: K) => readonly ResourceOf<K>[];
    /** A number that changes whenever the results of the other functions may change. */
    readonly getRevision: () => number;
}

export interface HttpLimits {
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    /** Maximum number of open calls of all workspaces together. */
    readonly maxOpenCalls: number;
    readonly maxOpenCallsPerWorkspace: number;
    readonly maxConnections: number;
    /** Maximum time for a caller to read buffered data; its connection is aborted after that. */
    readonly slowReaderTimeoutMs: number;
    /** Maximum number of bytes buffered for one caller; its connection is aborted above that. */
    readonly maxBufferedBytes: number;
}

export interface HttpServerOptions {
    readonly configuration: HttpConfiguration;
    readonly submitCall: (call: Call) => void;
    /** Called when the caller disconnects before the call has ended. */
    readonly cancelCall: (requestId: string) => void;
    readonly mintKey: () => string;
    readonly createId: () => string;
    readonly writeResource: PlatformClient["writeResource"];
    readonly readResource: PlatformClient["readResource"];
    readonly listConfiguration: PlatformClient["readConfiguration"];
    /** Reports all changes after the revision, past and future ones, until the returned function is called. */
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
    /** Logs the cause of an `INTERNAL` response. */
    readonly reportError?: (requestId: string, error: unknown) => void;
}

export interface HttpServer {
    readonly listen: (host: string, port: number) => Promise<{ readonly port: number; }>;
    /** Makes each response close its connection; new connections are still accepted, so that callers get a response. */
    readonly startDrain: () => void;
    /** Stops accepting connections and resolves when the open calls have ended. */
    readonly close: () => Promise<void>;
}
