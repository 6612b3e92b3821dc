/** Validates a resource before it is written to the platform's store. */
import type { ResourceKind, ResourceSpecs } from "@rhubarbwheel/types/resources";
import results, { type Result } from "ts-results/result.js";

import {
    type Check,
    checkAddress,
    checkEach,
    checkFields,
    checkHash,
    checkInteger,
    checkName,
    checkNumber,
    checkOneOf,
    checkPattern,
    checkText,
    checkUnique,
    type FieldProblem,
    isRecord,
} from "./fieldChecks.js";

// The main module of ts-results 3.3.0 requires tslib without declaring it, and Node.js finds no named exports in its
// CommonJS modules. This module has no dependency and is imported through its default export.
const { Err, Ok } = results;

export type { FieldProblem } from "./fieldChecks.js";

/** Maximum size of a resource as JSON, a limit of the platform's store. */
export const maxResourceBytes = 1_000_000;

const maxProblems = 20;
const maxLimit = 1_000_000;
const maxTimeoutMs = 24 * 60 * 60 * 1_000;
// Costs are divided by shares. Within these limits the quotients do not overflow, and small costs stay distinguishable.
const minShare = 1e-6;
const maxShare = 1e6;

const checkLimit = checkInteger(1, maxLimit);
const checkTimeout = checkInteger(1, maxTimeoutMs);

const checkWorkspace = checkFields({
    share: checkNumber(minShare, maxShare),
    credentialHashes: checkUnique(checkEach(checkHash), item => item, "hash"),
}, { maxQueuedPerRouter: checkLimit });

const checkTarget = checkFields({ name: checkName, address: checkAddress, failureDomain: checkName }, {});

const checkRoute = checkFields({
    method: checkPattern(/^[A-Z]{1,20}$/, "is not an HTTP method", "Use upper-case letters, for example GET."),
    pathPrefix: checkPattern(
        /^\/[\x21-\x7e]{0,999}$/,
        "is not a path",
        "Use a path of at most 1,000 printable ASCII characters that starts with /.",
    ),
}, {});

const readField = (field: string) => (item: unknown) => (isRecord(item) ? item[field] : undefined);

/** Two targets with the same address would run twice as many requests as the limit of the target allows. */
const checkTargets = checkUnique(
    checkUnique(checkEach(checkTarget), readField("name"), "target name"),
    readField("address"),
    "address",
);

const checkServiceFields = checkFields({
    kind: checkOneOf("model", "plain"),
    targets: checkTargets,
    targetLimit: checkLimit,
    coldLimit: checkLimit,
}, {
    models: checkUnique(checkEach(checkText(200)), item => item, "model"),
    idempotentRoutes: checkEach(checkRoute),
    warmUpRequests: checkLimit,
    costPerCall: checkNumber(minShare, maxShare),
    queueTimeoutMs: checkTimeout,
    answerTimeoutMs: checkTimeout,
});

/** Fields that are allowed for only one kind of service. */
const kindOfField: Readonly<Record<string, string>> = {
    models: "model",
    idempotentRoutes: "plain",
    costPerCall: "plain",
};

const checkService: Check = (value, field) => {
    const problems = [...checkServiceFields(value, field)];
    if (!isRecord(value)) return problems;
    const { kind, targetLimit, coldLimit } = value;
    if (typeof coldLimit === "number" && typeof targetLimit === "number" && coldLimit > targetLimit) {
        problems.push({
            field: "coldLimit",
            problem: `is greater than targetLimit, ${targetLimit}`,
            remedy: "Lower coldLimit or raise targetLimit.",
        });
    }
    for (const [name, only] of Object.entries(kindOfField)) {
        if (value[name] === undefined || kind === only) continue;
        problems.push({ field: name, problem: `is only for kind ${only}`, remedy: "Remove the field." });
    }
    return problems;
};

const checks: Readonly<Record<ResourceKind, Check>> = {
    workspaces: checkWorkspace,
    services: checkService,
    failuredomains: checkFields({ state: checkOneOf("in", "out") }, {}),
};

function checkSize(spec: unknown): readonly FieldProblem[] {
    const size = Buffer.byteLength(JSON.stringify(spec) ?? "");
    if (size <= maxResourceBytes) return [];
    const problem = `has ${size} bytes as JSON, more than ${maxResourceBytes}`;
    return [{ field: "spec", problem, remedy: "Split it into several resources." }];
}

/** Returns the typed spec, or its first 20 problems. */
export function validateResource<K extends ResourceKind>(
    kind: K,
    name: string,
    spec: unknown,
): Result<ResourceSpecs[K], readonly FieldProblem[]> {
    const sizeProblems = checkSize(spec);
    const problems = [
        ...checkName(name, "name"),
        ...(sizeProblems.length > 0 ? sizeProblems : checks[kind](spec, "")),
    ];
    return problems.length === 0 ? Ok(spec as ResourceSpecs[K]) : Err(problems.slice(0, maxProblems));
}
