/** Checks services with each other and with the failure domains. */
import { indexModels } from "@rhubarbwheel/http-server/createConfigurationIndex";
import { checkRoutes } from "./checkRoutes.js";
import { drainTimeoutMs } from "./checkSettings.js";
import { checkTargetAddresses } from "./checkTargetAddresses.js";
import { type ConfigurationEntry, createFinding, type EntryOf, filterByKind, type Finding } from "./finding.js";

type Service = EntryOf<"services">;

export function checkServices(entries: readonly ConfigurationEntry[]): readonly Finding[] {
    const services = filterByKind(entries, "services");
    const domains = filterByKind(entries, "failuredomains");
    const modelOwners = indexModels(services);
    const closed = new Set(domains.filter(domain => domain.spec.state === "out").map(domain => domain.name));
    return [
        ...services.flatMap(service => checkModels(service, modelOwners)),
        ...services.flatMap(checkRoutes),
        ...services.flatMap(service => checkTargetsInService(service, closed)),
        ...checkTargetAddresses(services),
        ...services.flatMap(checkWarmUp),
        ...services.flatMap(checkTimeouts),
        ...checkDomains(domains, services),
    ];
}

function checkModels(service: Service, owners: ReadonlyMap<string, Service>): readonly Finding[] {
    if (service.spec.kind !== "model") return [];
    const { models = [] } = service.spec;
    if (models.length === 0) {
        return [createFinding(service, "spec.models", {
            code: "MODELS_MISSING",
            severity: "warning",
            message: "The service lists no models. Calls find a service by the model, so none can reach it.",
            hint: "Add the names of its models.",
        })];
    }
    return models.flatMap((model, index) => {
        const owner = owners.get(model)?.name;
        if (owner === service.name) return [];
        return [createFinding(service, `spec.models[${index}]`, {
            code: "MODEL_SHADOWED",
            severity: "error",
            message: `Service ${owner} has the same model, and all calls for it go to ${owner}.`,
            hint: "List a model at one service only.",
        })];
    });
}

function checkTargetsInService(service: Service, closed: ReadonlySet<string>): readonly Finding[] {
    const { targets } = service.spec;
    if (targets.length === 0) {
        return [createFinding(service, "spec.targets", {
            code: "SERVICE_WITHOUT_TARGETS",
            severity: "error",
            message: "The service has no targets, so each call to it fails.",
            hint: "Add targets, or delete the service.",
        })];
    }
    if (!targets.every(target => closed.has(target.failureDomain))) return [];
    return [createFinding(service, "spec.targets", {
        code: "SERVICE_CLOSED",
        severity: "error",
        message: "All targets are in failure domains that are out, so each call to the service fails.",
        hint: "Add targets in another failure domain before taking these out.",
    })];
}

function checkWarmUp(service: Service): readonly Finding[] {
    const { targetLimit, coldLimit, warmUpRequests } = service.spec;
    if (warmUpRequests === undefined) return [];
    const createWarmUpFinding = (message: string, hint: string): Finding =>
        createFinding(service, "spec.warmUpRequests", {
            code: "WARM_UP_WITHOUT_EFFECT",
            severity: "warning",
            message,
            hint,
        });
    if (coldLimit === targetLimit) {
        const message = "coldLimit equals targetLimit, so a cold target gets full load whatever warmUpRequests is.";
        return [createWarmUpFinding(message, "Lower coldLimit, or remove warmUpRequests.")];
    }
    if (warmUpRequests >= coldLimit) return [];
    const message = `A warm-up has at least coldLimit requests, ${coldLimit}, so the lower value has no effect.`;
    return [createWarmUpFinding(message, "Use at least coldLimit, or remove warmUpRequests.")];
}

function checkTimeouts(service: Service): readonly Finding[] {
    const { answerTimeoutMs = 0 } = service.spec;
    if (answerTimeoutMs <= drainTimeoutMs) return [];
    return [createFinding(service, "spec.answerTimeoutMs", {
        code: "TIMEOUT_BEYOND_DRAIN",
        severity: "warning",
        message: `A router that is replaced cuts off its calls after ${drainTimeoutMs} ms by default, sooner than a`
            + " silent target may respond.",
        hint: "Lower the timeout, or set --drain-timeout of the routers to more.",
    })];
}

/** Without any service the file is only a part of the configuration, for example an order to take a domain out. */
function checkDomains(domains: readonly EntryOf<"failuredomains">[], services: readonly Service[]): readonly Finding[] {
    if (services.length === 0) return [];
    const used = new Set(services.flatMap(service => service.spec.targets.map(target => target.failureDomain)));
    return domains.filter(domain => !used.has(domain.name)).map(domain =>
        createFinding(domain, "", {
            code: "DOMAIN_WITHOUT_TARGETS",
            severity: "warning",
            message: "No target is in this failure domain, so its state has no effect.",
            hint: `Check the spelling. Targets are in: ${[...used].sort().slice(0, 10).join(", ") || "none"}.`,
        })
    );
}
