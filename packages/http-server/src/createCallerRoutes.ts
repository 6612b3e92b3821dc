/** Routes for callers: chat completions, plain services, and minting of idempotency keys. */
import Router from "@koa/router";
import type { Call } from "@rhubarbwheel/types/ports";
import type { Context } from "koa";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createCallResponder } from "./createCallResponder.js";
import type { ConfigurationIndex } from "./createConfigurationIndex.js";
import type { OpenCallLimit } from "./createOpenCallLimit.js";
import { createRefusalDelay } from "./createRefusalDelay.js";
import { filterRequestHeaders } from "./filterHeaders.js";
import type { HttpServerOptions } from "./httpServerOptions.js";
import type { ParsedCall } from "./parseCall.js";
import { parseModelCall, parsePlainCall } from "./parseCall.js";
import { readBody } from "./readBody.js";
import { RequestError } from "./requestError.js";

export interface CallerRoutesOptions
    extends
        Pick<HttpServerOptions, "configuration" | "submitCall" | "cancelCall" | "mintKey" | "limits" | "reportError"> {
    readonly configurationIndex: ConfigurationIndex;
    readonly openCallLimit: OpenCallLimit;
}

interface ResolvedRoute {
    readonly path: string;
    readonly parse: (body: Buffer) => ParsedCall;
}

export const keyHeader = "idempotency-key";

// Keys chosen by callers. Minted keys may be longer, because they contain the name of a router.
const chosenKeyPattern = /^[A-Za-z0-9._-]{1,128}$/;
const mintedKeyPattern = /^rw1\.[A-Za-z0-9._-]{1,400}$/;

export function createCallerRoutes(opts: CallerRoutesOptions): Router {
    const { configuration, configurationIndex, limits } = opts;
    const refusalDelay = createRefusalDelay(limits.maxOpenCallsPerWorkspace);

    const authenticate = (req: IncomingMessage): string => {
        if (configuration.getFreshness() === "empty") throw new RequestError("CONFIGURATION_EMPTY");
        const workspace = configurationIndex.findWorkspace(readBearerToken(req));
        if (workspace === undefined) throw new RequestError("CREDENTIAL_UNKNOWN");
        return workspace;
    };

    /** Runs `action`, and delays the error if it throws; `workspace` is empty until the caller is authenticated. */
    const runWithRefusalDelay = async <T>(workspace: string, res: ServerResponse, action: () => T): Promise<T> => {
        try {
            return action();
        }
        catch (error) {
            await refusalDelay.delayRefusal(workspace, res);
            throw error;
        }
    };

    const acceptCall = async (ctx: Context, resolveRoute: () => ResolvedRoute): Promise<void> => {
        const { req, res } = ctx;
        const workspace = await runWithRefusalDelay("", res, () => authenticate(req));
        const callerKey = readCallerKey(req);
        const route = resolveRoute();
        // HTTP/1.0 has no chunked encoding, so its callers could not detect a truncated response.
        if (req.httpVersion !== "1.1") throw new RequestError("HEADER_INVALID", { detail: "HTTP/1.1 is required." });
        await runWithRefusalDelay(workspace, res, () => res.once("close", opts.openCallLimit.openCall(workspace)));
        const body = await readBody(req, res, limits.maxBodyBytes);
        const parsedCall = route.parse(body);
        ctx.respond = false;
        // The connection may have closed in the event loop turn in which the body ended.
        if (res.closed || res.destroyed) return;
        submit(ctx, { workspace, callerKey, path: route.path, body, parsedCall });
    };

    const submit = (ctx: Context, accepted: AcceptedCall): void => {
        const id = ctx.state["requestId"] as string;
        const { parsedCall } = accepted;
        // Only calls that must not run twice need a key; responses to idempotent calls are not recorded.
        const key = parsedCall.idempotent ? undefined : accepted.callerKey ?? opts.mintKey();
        const responder = createCallResponder({
            res: ctx.res,
            requestId: id,
            headers: key === undefined ? {} : { [keyHeader]: key },
            limits,
            onDisconnect: () => opts.cancelCall(id),
        });
        const call: Call = {
            ...parsedCall,
            id,
            workspace: accepted.workspace,
            method: ctx.req.method ?? "GET",
            path: accepted.path,
            headers: filterRequestHeaders(ctx.req.headers),
            body: accepted.body,
            responder,
            ...(key === undefined ? {} : { callerKey: key }),
        };
        try {
            opts.submitCall(call);
        }
        catch (error) {
            opts.reportError?.(id, error);
            responder.fail({ code: "INTERNAL", outcome: "unknown" });
        }
    };

    const router = new Router();
    router.post("/v1/chat/completions", ctx =>
        acceptCall(ctx, () => ({
            path: ctx.req.url ?? "",
            parse: body => parseModelCall(body, configurationIndex.findServiceByModel),
        })));
    router.all("/services/:service{/*path}", ctx => acceptCall(ctx, () => resolvePlainRoute(ctx, configuration)));
    router.post("/v1/keys", async ctx => {
        await runWithRefusalDelay("", ctx.res, () => authenticate(ctx.req));
        ctx.status = 201;
        ctx.set("rhubarbwheel-outcome", "complete");
        ctx.body = { key: opts.mintKey() };
    });
    return router;
}

interface AcceptedCall {
    readonly workspace: string;
    readonly callerKey: string | undefined;
    readonly path: string;
    readonly body: Buffer;
    readonly parsedCall: ParsedCall;
}

function resolvePlainRoute(ctx: Context, configuration: HttpServerOptions["configuration"]): ResolvedRoute {
    const { url = "", method = "GET" } = ctx.req;
    const [, name = "", rest = ""] = /^\/services\/([^/?]+)(.*)$/.exec(url) ?? [];
    const service = configuration.getService(name);
    if (service === undefined) throw new RequestError("SERVICE_UNKNOWN");
    if (service.spec.kind !== "plain")
        throw new RequestError("SERVICE_UNKNOWN", { detail: "Models are served at /v1/chat/completions." });
    const path = rest.startsWith("/") ? rest : `/${rest}`;
    return { path, parse: () => parsePlainCall(service, method, path) };
}

function readBearerToken(req: IncomingMessage): string {
    const [, token] = /^Bearer +([\u0021-\u007e]+)$/i.exec(req.headers.authorization ?? "") ?? [];
    if (token === undefined) throw new RequestError("CREDENTIAL_MISSING");
    return token;
}

function readCallerKey(req: IncomingMessage): string | undefined {
    const key = req.headers[keyHeader];
    if (key === undefined) return undefined;
    if (typeof key !== "string" || !(chosenKeyPattern.test(key) || mintedKeyPattern.test(key)))
        throw new RequestError("KEY_MALFORMED");
    return key;
}
