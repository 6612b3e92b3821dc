/** Guards against invalid or ignored settings that go unreported, and against secrets in output. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseSettings, readSettingsAction } from "../src/parseSettings.js";
import { renderHelp, renderProblems, renderSettings } from "../src/renderSettings.js";
import type { Environment } from "../src/settings.js";
import { formatFlag, formatVariable, settingKeys } from "../src/settingsTable.js";

const secret = "0123456789abcdef";
const requiredSettings: Environment = {
    RHUBARBWHEEL_ROUTER_NAME: "router-1",
    RHUBARBWHEEL_FAILURE_DOMAIN: "khomas-a",
    RHUBARBWHEEL_LISTEN: "127.0.0.1:8080",
    RHUBARBWHEEL_PEER_LISTEN: "127.0.0.1:8081",
    RHUBARBWHEEL_PLATFORM: "http://127.0.0.1:9000, http://127.0.0.1:9001/",
    RHUBARBWHEEL_OPERATOR_TOKEN: `${secret}-operator`,
    RHUBARBWHEEL_FLEET_SECRET: `${secret}-fleet`,
};

const files: Record<string, string> = { "/token": `${secret}-file\n`, "/short": "short", "/pem": "PEM" };

function readFile(path: string): Buffer {
    const content = files[path];
    if (content === undefined) throw Object.assign(new Error("no such file"), { code: "ENOENT" });
    return Buffer.from(content);
}

function parse(argv: string[] = [], environment: Environment = {}) {
    return parseSettings(argv, { ...requiredSettings, ...environment }, readFile);
}

test("the required settings alone yield the documented defaults", () => {
    assert.equal({ ...parse().unwrap(), effective: [] }, {
        routerName: "router-1",
        failureDomain: "khomas-a",
        listen: { host: "127.0.0.1", port: 8080 },
        peerListen: "127.0.0.1:8081",
        peerAddress: "127.0.0.1:8081",
        platform: ["http://127.0.0.1:9000", "http://127.0.0.1:9001"],
        seeds: [],
        operatorToken: `${secret}-operator`,
        fleetSecret: `${secret}-fleet`,
        logLevel: "info",
        logFormat: "json",
        maxBodyBytes: 1_048_576,
        maxHeaderBytes: 16_384,
        maxOpenCalls: 4_096,
        maxOpenCallsPerWorkspace: 1_024,
        maxConnections: 8_192,
        slowReaderTimeoutMs: 30_000,
        drainTimeoutMs: 60_000,
        idempotencyRecords: 10_000,
        idempotencyBytes: 16_777_216,
        effective: [],
    });
});

test("a flag takes precedence over its variable, and a secret file over a secret in a variable", () => {
    const settings = parse(["--log-level", "debug", "--operator-token-file=/token", "--seeds", "r2@b@[::1]:81"], {
        RHUBARBWHEEL_LOG_LEVEL: "error",
    }).unwrap();
    assert.is(settings.logLevel, "debug");
    assert.is(settings.operatorToken, `${secret}-file`);
    assert.equal(settings.seeds, [{ router: "r2", failureDomain: "b", address: "[::1]:81" }]);
});

const invalidSettings: [string, string[], Environment, string][] = [
    [
        "a missing required setting",
        [],
        { RHUBARBWHEEL_ROUTER_NAME: undefined },
        "--router-name (RHUBARBWHEEL_ROUTER_NAME) is missing",
    ],
    [
        "a host name instead of an address",
        ["--listen", "localhost:80"],
        {},
        "--listen (RHUBARBWHEEL_LISTEN) is not an IP",
    ],
    ["a port out of range", ["--listen", "127.0.0.1:70000"], {}, "--listen (RHUBARBWHEEL_LISTEN) is not an IP"],
    [
        "a wildcard address, which peers cannot connect to",
        ["--peer-listen", "0.0.0.0:81"],
        {},
        "--peer-listen is a wildcard",
    ],
    ["a platform with another scheme", ["--platform", "ftp://127.0.0.1"], {}, "is not an http or https URL"],
    ["a credential in a URL", ["--platform", "http://u:pw@127.0.0.1"], {}, "contains a credential"],
    ["a malformed seed", ["--seeds", "r2@127.0.0.1:1"], {}, "router@failure-domain@ip:port"],
    [
        "a size without a known unit",
        ["--max-body-bytes", "1MB"],
        {},
        "--max-body-bytes (RHUBARBWHEEL_MAX_BODY_BYTES) is not a size",
    ],
    ["a limit of zero", ["--max-connections", "0"], {}, "is not a whole number above 0"],
    ["a file that cannot be read", ["--fleet-secret-file", "/none"], {}, "cannot be read (ENOENT)"],
    ["a short secret", ["--fleet-secret-file", "/short"], {}, "contains fewer than 16 characters"],
    [
        "a missing secret",
        [],
        { RHUBARBWHEEL_FLEET_SECRET: undefined },
        "--fleet-secret-file (RHUBARBWHEEL_FLEET_SECRET_FILE) is missing",
    ],
    [
        "one TLS file of three",
        ["--peer-tls-key-file", "/pem"],
        {},
        "--peer-tls-authority-file (RHUBARBWHEEL_PEER_TLS_AUTHORITY_FILE) is missing",
    ],
    ["an unknown flag", ["--colour", "red"], {}, "--colour is not a known flag"],
    [
        "a flag named like a property of Object.prototype",
        ["--constructor", "x"],
        {},
        "--constructor is not a known flag",
    ],
    ["a flag without a value", ["--log-level"], {}, "--log-level (RHUBARBWHEEL_LOG_LEVEL) has no value"],
    ["a stray argument", ["run"], {}, "unexpected argument that is not a flag"],
];
for (const [title, argv, environment, expected] of invalidSettings) {
    test(`${title} is reported with flag, variable and remedy`, () => {
        const result = parse(argv, environment);
        const problems = result.err ? result.val : [];
        const text = renderProblems(problems);
        assert.ok(text.includes(expected), text);
        assert.ok(problems.every(problem => problem.remedy.endsWith(".")));
        assert.not.match(text, /pw/);
    });
}

test("all problems are reported together, and a secret passed as a flag is not printed", () => {
    const result = parseSettings(["--operator-token", secret, "--log-level", "loud"], {}, readFile);
    const text = renderProblems(result.err ? result.val : []);
    assert.is(text.split("\n").length - 1, 9);
    assert.match(text, /--operator-token is not a known flag\. Give secrets in a file/);
    assert.not.match(text, new RegExp(secret));
});

test("help lists each flag and variable, and the effective settings hide secrets", () => {
    for (const key of settingKeys) {
        assert.ok(renderHelp().includes(`  ${formatFlag(key)} `), key);
        assert.ok(renderHelp().includes(`      ${formatVariable(key)}\n`), key);
    }
    const text = renderSettings(parse(["--operator-token-file", "/token"]).unwrap());
    assert.match(text, /--operator-token-file \/token \(flag\)/);
    assert.match(text, /--listen 127\.0\.0\.1:8080 \(variable\)/);
    assert.not.match(text, new RegExp(secret));
});

test("--help takes precedence over --check-settings, and --check-settings over a run", () => {
    assert.is(readSettingsAction([]), "run");
    assert.is(readSettingsAction(["--check-settings"]), "checkSettings");
    assert.is(readSettingsAction(["--check-settings", "--help"]), "help");
});

test.run();
