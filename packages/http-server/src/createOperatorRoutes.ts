/** Routes for operators: versioned resources and status. */
import Router from "@koa/router";
import type { ResourceWrite, WriteResult } from "@rhubarbwheel/types/ports";
import type { Resource, ResourceKind } from "@rhubarbwheel/types/resources";
import type { Context, Middleware } from "koa";
import { createHash, timingSafeEqual } from "node:crypto";
import type { WatchStreams } from "./createWatchStreams.js";
import type { HttpServerOptions } from "./httpServerOptions.js";
import { readBody } from "./readBody.js";
import { RequestError } from "./requestError.js";

export interface OperatorRoutesOptions extends
    Pick<
        HttpServerOptions,
        | "configuration"
        | "createId"
        | "writeResource"
        | "readResource"
        | "listConfiguration"
        | "getStatus"
        | "operatorToken"
        | "limits"
        | "validateResource"
    > {
    readonly watchStreams: WatchStreams;
}

/** Set to `true` in a response from the router's own configuration, when the store is unreachable. */
export const staleHeader = "rhubarbwheel-stale";

const kinds: readonly ResourceKind[] = ["workspaces", "services", "failuredomains"];
const namePattern = /^[A-Za-z0-9._-]{1,253}$/;

export function createOperatorRoutes(opts: OperatorRoutesOptions): Router {
    const router = new Router({ prefix: "/api/v1" });
    router.use(createOperatorAuthentication(opts.operatorToken));
    router.get("/status", ctx => {
        ctx.body = opts.getStatus();
    });
    router.get("/:kind", ctx => ctx.query["watch"] === "true" ? watchResources(ctx, opts) : listResources(ctx, opts));
    router.get("/:kind/:name", ctx => readResource(ctx, opts));
    router.put("/:kind/:name", ctx => putResource(ctx, opts));
    router.delete("/:kind/:name", ctx => deleteResource(ctx, opts));
    return router;
}

/** Compares hashes in constant time, so that the time of the comparison reveals nothing about the token. */
function createOperatorAuthentication(operatorToken: string): Middleware {
    const computeHash = (text: string): Buffer => createHash("sha256").update(text).digest();
    const expected = computeHash(operatorToken);
    return async (ctx, next) => {
        const [, token] = /^Bearer +(\S+)$/i.exec(ctx.req.headers.authorization ?? "") ?? [];
        if (operatorToken === "" || token === undefined || !timingSafeEqual(computeHash(token), expected))
            throw new RequestError("OPERATOR_CREDENTIAL_INVALID");
        await next();
    };
}

function readKind(ctx: Context): ResourceKind {
    const kind = kinds.find(known => known === ctx["params"].kind);
    if (kind === undefined)
        throw new RequestError("ROUTE_UNKNOWN", { detail: `The resource kinds are ${kinds.join(", ")}.` });
    return kind;
}

function readName(ctx: Context): string {
    const name = String(ctx["params"].name);
    if (!namePattern.test(name)) throw new RequestError("RESOURCE_NOT_FOUND", { detail: "The name is not valid." });
    return name;
}

function watchResources(ctx: Context, opts: OperatorRoutesOptions): void {
    const kind = readKind(ctx);
    const revision = Number(ctx.query["revision"] ?? 0);
    if (!Number.isSafeInteger(revision) || revision < 0)
        throw new RequestError("BODY_MALFORMED", { detail: "\"revision\" must be a non-negative integer." });
    opts.watchStreams.openStream(ctx, kind, revision);
}

async function listResources(ctx: Context, opts: OperatorRoutesOptions): Promise<void> {
    const kind = readKind(ctx);
    const result = await opts.listConfiguration();
    const listLocalResources = (): readonly Resource[] => opts.configuration.listResources(kind) as readonly Resource[];
    const resources = result.type === "read" ? result.value.resources : listLocalResources();
    if (result.type === "unavailable") ctx.set(staleHeader, "true");
    const revision = result.type === "read" ? result.value.revision : opts.configuration.getRevision();
    ctx.body = { revision, resources: resources.filter(resource => resource.kind === kind && !resource.deleted) };
}

async function readResource(ctx: Context, opts: OperatorRoutesOptions): Promise<void> {
    const kind = readKind(ctx);
    const name = readName(ctx);
    const result = await opts.readResource(kind, name);
    const resource = result.type === "read"
        ? result.value
        : opts.configuration.listResources(kind).find(local => local.name === name);
    if (result.type === "unavailable") ctx.set(staleHeader, "true");
    if (resource === undefined || resource.deleted) throw new RequestError("RESOURCE_NOT_FOUND");
    sendResource(ctx, resource as Resource);
}

async function putResource(ctx: Context, opts: OperatorRoutesOptions): Promise<void> {
    const kind = readKind(ctx);
    const name = readName(ctx);
    const expectedVersion = readExpectedVersion(ctx);
    const body = await readBody(ctx.req, ctx.res, opts.limits.maxBodyBytes);
    const validated = opts.validateResource(kind, name, parseSpec(body));
    if (validated.err) {
        throw new RequestError("RESOURCE_INVALID", {
            detail: validated.val.map(problem => `${problem.field}: ${problem.problem}`).join("; "),
            members: { problems: validated.val },
        });
    }
    const write = { kind, name, expectedVersion, spec: validated.val, writeId: opts.createId() };
    sendWriteResult(ctx, await opts.writeResource(write), expectedVersion === 0 ? 201 : 200);
}

async function deleteResource(ctx: Context, opts: OperatorRoutesOptions): Promise<void> {
    const kind = readKind(ctx);
    const name = readName(ctx);
    const expectedVersion = readExpectedVersion(ctx);
    if (expectedVersion === 0)
        throw new RequestError("PRECONDITION_MISSING", { detail: "A deletion requires If-Match." });
    const write: ResourceWrite = { kind, name, expectedVersion, writeId: opts.createId() };
    sendWriteResult(ctx, await opts.writeResource(write), 200);
}

/** 0 for `If-None-Match: *`, otherwise the version in `If-Match`, with or without quotes. */
function readExpectedVersion(ctx: Context): number {
    const { "if-match": match, "if-none-match": noneMatch } = ctx.req.headers;
    if (match !== undefined && noneMatch !== undefined)
        throw new RequestError("HEADER_INVALID", { detail: "If-Match and If-None-Match are mutually exclusive." });
    if (noneMatch === "*") return 0;
    if (match === undefined) throw new RequestError("PRECONDITION_MISSING");
    const [, bare, quoted] = /^(?:([1-9]\d{0,15})|"([1-9]\d{0,15})")$/.exec(match) ?? [];
    const version = Number(bare ?? quoted);
    if (!Number.isSafeInteger(version))
        throw new RequestError("HEADER_INVALID", { detail: "If-Match must be the version that was read." });
    return version;
}

/** Accepts `{ "spec": ... }`, the form in which a resource is read, or the spec alone. */
function parseSpec(body: Buffer): unknown {
    try {
        const parsed: unknown = JSON.parse(body.toString("utf8"));
        return typeof parsed === "object" && parsed && "spec" in parsed ? parsed.spec : parsed;
    }
    catch {
        throw new RequestError("BODY_MALFORMED", { detail: "The body is not valid JSON." });
    }
}

function sendResource(ctx: Context, resource: Resource): void {
    ctx.set("etag", `"${resource.version}"`);
    ctx.body = resource;
}

function sendWriteResult(ctx: Context, result: WriteResult, status: number): void {
    switch (result.type) {
        case "accepted":
            ctx.status = status;
            ctx.set("rhubarbwheel-outcome", "complete");
            return sendResource(ctx, result.resource);
        case "conflict":
            throw new RequestError("VERSION_CONFLICT", {
                detail: result.currentVersion === undefined
                    ? "The resource does not exist."
                    : `The current version is ${result.currentVersion}.`,
                members: { currentVersion: result.currentVersion },
            });
        case "unavailable":
            throw new RequestError("PLATFORM_UNAVAILABLE");
        case "unknown":
            throw new RequestError("PLATFORM_UNKNOWN", { outcome: "unknown" });
    }
}
