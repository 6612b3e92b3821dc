/** Finds targets with the same address, of which each gets the whole limit of its service. */
import { createFinding, type EntryOf, type Finding } from "./finding.js";

type Service = EntryOf<"services">;

/** The validation of one service compares addresses as texts; `http://10.0.0.1:80/` and `http://10.0.0.1` pass it. */
export function checkTargetAddresses(services: readonly Service[]): readonly Finding[] {
    const owners = new Map<string, { readonly service: string; readonly target: string; }>();
    const findings: Finding[] = [];
    for (const service of services) {
        for (const [index, target] of service.spec.targets.entries()) {
            const { origin } = new URL(target.address);
            const owner = owners.get(origin);
            if (owner === undefined) owners.set(origin, { service: service.name, target: target.name });
            else findings.push(createAddressFinding(service, index, owner));
        }
    }
    return findings;
}

function createAddressFinding(
    service: Service,
    index: number,
    owner: { readonly service: string; readonly target: string; },
): Finding {
    const isSameService = owner.service === service.name;
    return createFinding(service, `spec.targets[${index}].address`, {
        code: "TARGET_ADDRESS_SHARED",
        // A process may serve two services with limits that were chosen for that.
        severity: isSameService ? "error" : "warning",
        message: `Target ${owner.target} of service ${owner.service} has the same address; together they run up to the`
            + " sum of both limits there.",
        hint: isSameService
            ? "Remove one of the two."
            : "Correct the address, or choose the limits of both services so that their sum fits.",
    });
}
