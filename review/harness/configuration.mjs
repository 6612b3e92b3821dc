/** Configuration and target entries of the scripts, with the figures of a small site. */

const route = { host: "calls.example", timeoutMs: 15_000, latencyTargetMs: 193, maxAttempts: 1, public: true };

export const configuration = {
    version: 1,
    routes: [
        { ...route, name: "order", pathPrefix: "/order/", kind: "unsafe", service: "desk" },
        { ...route, name: "lookup", pathPrefix: "/lookup/", kind: "safe", service: "desk", maxAttempts: 2 },
        { ...route, name: "report", pathPrefix: "/report/", kind: "safe", service: "desk", maxAttempts: 2 },
    ],
    services: [{ name: "desk", maxConns: 214, coldPerS: 0 }],
    limits: { maxHeaderBytes: 8192, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 6000 },
};

export function createTargetEntry(target, overrides = {}) {
    return {
        service: "desk",
        addr: target.address,
        zone: "zone-a",
        version: "v1",
        slots: 6,
        state: "ready",
        coldLeftMs: 0,
        seq: 1,
        born: 1,
        ...overrides,
    };
}
