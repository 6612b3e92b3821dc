import { compareConfigurations } from "@rhubarbwheel/configuration-check/compareConfigurations";
import type { ConfigurationEntry } from "@rhubarbwheel/configuration-check/finding";
import { test } from "uvu";
import * as assert from "uvu/assert";

const target = (name: string, address = `http://10.0.0.1:${name}`) => ({ name, address, failureDomain: "khomas-a" });
const plain = { kind: "plain", targets: [target("1"), target("2")], targetLimit: 8, coldLimit: 2 };
const create = (kind: string, name: string, spec: object) => ({ kind, name, spec }) as ConfigurationEntry;
const workspace = (name: string, share: number, credentialHashes: string[], rest: object = {}) =>
    create("workspaces", name, { share, credentialHashes, ...rest });
const service = (name: string, rest: object = {}) => create("services", name, { ...plain, ...rest });
const domain = (name: string, state: string) => create("failuredomains", name, { state });

function formatDifferences(before: ConfigurationEntry[], after: ConfigurationEntry[]): string {
    return compareConfigurations(after, before).differences.map(({ change, entry, fields, effects }) =>
        [`${change} ${entry} ${fields.join(",")}`, ...effects].join("\n  ")
    ).join("\n");
}

// Guards against a change of a workspace that locks out its callers without notice, and against printed credentials.
test("differences of workspaces", () => {
    assert.snapshot(
        formatDifferences(
            [workspace("gone", 1, []), workspace("same", 1, ["x"]), workspace("w", 1, ["secret", "kept"])],
            [
                workspace("new", 3, ["x"]),
                workspace("same", 1, ["x"]),
                workspace("w", 2, ["kept", "other"], {
                    maxQueuedPerRouter: 5,
                }),
            ],
        ),
        `removed workspaces/gone 
  apply deletes nothing; once it is deleted, calls with its credentials get 401 CREDENTIAL_UNKNOWN
added workspaces/new 
  calls with 1 credential will be accepted, with share 3
changed workspaces/w credentialHashes,maxQueuedPerRouter,share
  calls with 1 removed credential get 401 CREDENTIAL_UNKNOWN
  calls with 1 more credential will be accepted
  its weight against other waiting workspaces is 2.00 times as great (share 1 to 2)
  calls get 429 QUEUE_FULL beyond 5 queued requests per router, so far beyond the default`,
    );
});

// Guards against a change of a service whose effect on calls is missing or has the wrong direction.
test("differences of services", () => {
    const get = { method: "GET", pathPrefix: "/stock" };
    const post = { method: "POST", pathPrefix: "/orders" };
    assert.snapshot(
        formatDifferences(
            [
                service("a", { idempotentRoutes: [get], queueTimeoutMs: 500, costPerCall: 2 }),
                service("b", { kind: "model", models: ["m", "n"] }),
                service("gone"),
                service("kind"),
            ],
            [
                service("a", {
                    targets: [target("2", "http://10.0.0.9:2")],
                    idempotentRoutes: [post],
                    answerTimeoutMs: 900,
                    coldLimit: 1,
                }),
                service("b", {
                    kind: "model",
                    models: ["n", "o"],
                    targets: [...plain.targets, target("3")],
                    warmUpRequests: 9,
                }),
                service("kind", { kind: "model", models: ["m"] }),
                service("new"),
            ],
        ),
        `changed services/a answerTimeoutMs,coldLimit,costPerCall,idempotentRoutes,queueTimeoutMs,targets
  1 target will get no new calls; calls in progress finish
  new calls to 1 target go to another address
  runs up to 8 requests at once, so far 16; calls wait sooner
  calls are no longer retried after a failure: GET /stock
  calls may run more than once after a failure: POST /orders
  calls to a silent target get 504 TARGET_TIMEOUT after 900 ms, so far after 60000 ms
  a target that has restarted gets 1 call at once, so far 2
  a call counts 1 towards the share of its workspace, so far 2
  calls that wait get 503 QUEUE_TIMEOUT after 30000 ms, so far after 500 ms
changed services/b models,targets,warmUpRequests
  1 more target will start cold
  runs up to 24 requests at once, so far 16; calls wait later
  calls for m get 404 MODEL_UNKNOWN, or go to another service
  calls for o are accepted
removed services/gone 
  apply deletes nothing; once it is deleted, calls to it get 404 SERVICE_UNKNOWN
changed services/kind kind,models
  changes from plain to model: calls in the form used so far get 404
added services/new 
  calls will be accepted; 2 targets will start cold`,
    );
});

// Guards against a failure domain that is taken out without a word on the targets that it has.
test("differences of failure domains", () => {
    const current = [service("s"), domain("khomas-a", "in"), domain("b", "out"), domain("gone", "out")];
    const { differences, notCompared } = compareConfigurations([domain("khomas-a", "out"), domain("b", "in")], current);
    assert.equal(differences.map(({ change, entry, effects }) => [change, entry, ...effects]), [
        ["changed", "failuredomains/b", "0 targets will get calls again; those that have restarted start cold"],
        ["removed", "failuredomains/gone", "apply deletes nothing; once it is deleted, 0 targets will get calls again"],
        ["changed", "failuredomains/khomas-a", "2 targets will get no new calls; calls in progress finish"],
    ]);
    assert.equal(notCompared, { services: 1 }, "a file with one kind does not remove the others");
});

test.run();
