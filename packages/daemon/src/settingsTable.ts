/** Table of the daemon's settings. Flags, environment variables, help text and validation are derived from it. */
import { isIP } from "node:net";
import results from "ts-results";
import type { Result } from "ts-results";

const { Err, Ok } = results;

export interface HostPort {
    readonly host: string;
    readonly port: number;
}

export interface Seed {
    readonly router: string;
    readonly failureDomain: string;
    /** `ip:port` of the peer interface. */
    readonly address: string;
}

/** One setting. `parse` returns the value, or a description of the problem. */
export interface SettingRow<T> {
    readonly group: "Identity" | "Addresses" | "Secrets" | "Peer TLS" | "Logs and metrics" | "Limits";
    /** Shown for the value in the help text. */
    readonly placeholder: string;
    readonly description: string;
    readonly required?: boolean;
    readonly defaultText?: string;
    readonly parse: (text: string) => Result<T, string>;
}

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

function parseName(text: string): Result<string, string> {
    return namePattern.test(text) ? Ok(text) : Err("is not a name of 1 to 63 characters from A-Z a-z 0-9 . _ -");
}

function parseHostPort(text: string): Result<HostPort, string> {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    const host = match?.[1] ?? match?.[2] ?? "";
    const port = Number(match?.[3] ?? -1);
    const isBracketed = match?.[1] !== undefined;
    if (isIP(host) === (isBracketed ? 6 : 4) && port >= 0 && port <= 65_535) return Ok({ host, port });
    return Err("is not an IP address and a port, such as 10.0.0.1:8080 or [fd00::1]:8080");
}

function parseAddress(text: string): Result<string, string> {
    return parseHostPort(text).map(() => text);
}

/** Accepts only addresses that other routers can connect to. */
function parseReachableAddress(text: string): Result<string, string> {
    return parseHostPort(text).andThen(({ host, port }) => {
        if (port === 0) return Err("has port 0, to which other routers cannot connect");
        if (host === "0.0.0.0" || host === "::")
            return Err("is a wildcard address, to which other routers cannot connect");
        return Ok(text);
    });
}

function parseText(text: string): Result<string, string> {
    return Ok(text);
}

function parseList<T>(parse: (text: string) => Result<T, string>): (text: string) => Result<readonly T[], string> {
    return text => {
        const parts = text.split(",").map(part => part.trim()).filter(part => part !== "");
        return results.Result.all(
            // Names the entry by its position only, because a URL may contain a credential.
            ...parts.map((part, index) => parse(part).mapErr(problem => `has an entry (${index + 1}) that ${problem}`)),
        ) as Result<readonly T[], string>;
    };
}

function parsePlatform(text: string): Result<readonly string[], string> {
    return parseList(parseUrl)(text).andThen(urls => urls.length > 0 ? Ok(urls) : Err("contains no URL"));
}

function parseUrl(text: string): Result<string, string> {
    const url = URL.canParse(text) ? new URL(text) : undefined;
    const host = url?.hostname.replace(/^\[|\]$/g, "") ?? "";
    if (url === undefined || !/^https?:$/.test(url.protocol) || isIP(host) === 0)
        return Err("is not an http or https URL with an IP address");
    if (url.username !== "" || url.password !== "")
        return Err("contains a credential, which is not allowed in a setting");
    return Ok(url.origin);
}

function parseSeed(text: string): Result<Seed, string> {
    const [router = "", failureDomain = "", address = "", ...rest] = text.split("@");
    if (rest.length > 0 || !namePattern.test(router) || !namePattern.test(failureDomain))
        return Err("is not of the form router@failure-domain@ip:port");
    return parseReachableAddress(address).map(() => ({ router, failureDomain, address }));
}

function parseChoice<T extends string>(...choices: readonly T[]): (text: string) => Result<T, string> {
    return text => {
        const choice = choices.find(candidate => candidate === text);
        return choice === undefined ? Err(`is not one of ${choices.join(", ")}`) : Ok(choice);
    };
}

function parseQuantity(units: Readonly<Record<string, number>>, expected: string) {
    return (text: string): Result<number, string> => {
        const match = /^(\d+)([A-Za-z]*)$/.exec(text);
        const factor = Object.hasOwn(units, match?.[2] ?? "?") ? units[match?.[2] ?? ""] : undefined;
        const value = Number(match?.[1]) * (factor ?? Number.NaN);
        return Number.isSafeInteger(value) && value > 0 ? Ok(value) : Err(`is not ${expected}`);
    };
}

const parseBytes = parseQuantity(
    { "": 1, KiB: 1_024, MiB: 1_024 ** 2, GiB: 1_024 ** 3 },
    "a size above 0, such as 65536, 64KiB or 1MiB",
);
const parseDuration = parseQuantity(
    { "": 1, ms: 1, s: 1_000, m: 60_000 },
    "a duration above 0, such as 500, 500ms or 30s",
);
const parseCount = parseQuantity({ "": 1 }, "a whole number above 0");

function createRow<T>(
    group: SettingRow<T>["group"],
    placeholder: string,
    parse: SettingRow<T>["parse"],
    description: string,
    options: Pick<SettingRow<T>, "required" | "defaultText"> = {},
): SettingRow<T> {
    return { group, placeholder, parse, description, ...options };
}

const required = { required: true };

/** The key `someFlag` stands for the flag `--some-flag` and the environment variable `RHUBARBWHEEL_SOME_FLAG`. */
export const settingsTable = {
    routerName: createRow("Identity", "NAME", parseName, "Name of this router, unique in the fleet.", required),
    failureDomain: createRow("Identity", "NAME", parseName, "Failure domain of this host.", required),
    listen: createRow(
        "Addresses",
        "IP:PORT",
        parseHostPort,
        "Address to listen on for callers and operators.",
        required,
    ),
    peerListen: createRow("Addresses", "IP:PORT", parseAddress, "Address to listen on for other routers.", required),
    peerAddress: createRow(
        "Addresses",
        "IP:PORT",
        parseReachableAddress,
        "Address at which other routers reach this one. Defaults to --peer-listen.",
    ),
    platform: createRow(
        "Addresses",
        "URL,...",
        parsePlatform,
        "Base URLs of the platform's object API, tried in turn.",
        required,
    ),
    seeds: createRow(
        "Addresses",
        "ROUTER@FAILURE-DOMAIN@IP:PORT,...",
        parseList(parseSeed),
        "Routers to contact first, in addition to the platform's host list.",
        { defaultText: "" },
    ),
    operatorTokenFile: createRow(
        "Secrets",
        "FILE",
        parseText,
        "File with the operator token, at least 16 characters; or set RHUBARBWHEEL_OPERATOR_TOKEN to the token.",
    ),
    fleetSecretFile: createRow(
        "Secrets",
        "FILE",
        parseText,
        "File with the secret that all routers share, at least 16 characters; or set RHUBARBWHEEL_FLEET_SECRET to it.",
    ),
    peerTlsCertificateFile: createRow("Peer TLS", "FILE", parseText, "Certificate chain of this router, PEM."),
    peerTlsKeyFile: createRow("Peer TLS", "FILE", parseText, "Private key of this router, PEM."),
    peerTlsAuthorityFile: createRow(
        "Peer TLS",
        "FILE",
        parseText,
        "CA certificate that signs the certificates of all routers, PEM.",
    ),
    logLevel: createRow(
        "Logs and metrics",
        "LEVEL",
        parseChoice("debug", "info", "warn", "error", "silent"),
        "Minimum level of log lines: debug, info, warn, error or silent.",
        { defaultText: "info" },
    ),
    logFormat: createRow(
        "Logs and metrics",
        "FORMAT",
        parseChoice("json", "text"),
        "Format of log lines: json or text.",
        { defaultText: "json" },
    ),
    statsd: createRow(
        "Logs and metrics",
        "IP:PORT",
        parseHostPort,
        "StatsD server for metrics. Without it, no metrics are sent.",
    ),
    maxBodyBytes: createRow("Limits", "SIZE", parseBytes, "Maximum size of a request body.", { defaultText: "1MiB" }),
    maxHeaderBytes: createRow("Limits", "SIZE", parseBytes, "Maximum size of the request headers.", {
        defaultText: "16KiB",
    }),
    maxOpenCalls: createRow("Limits", "COUNT", parseCount, "Maximum number of open calls.", { defaultText: "4096" }),
    maxOpenCallsPerWorkspace: createRow(
        "Limits",
        "COUNT",
        parseCount,
        "Maximum number of open calls of one workspace.",
        {
            defaultText: "1024",
        },
    ),
    maxConnections: createRow(
        "Limits",
        "COUNT",
        parseCount,
        "Maximum number of connections of callers and operators.",
        {
            defaultText: "8192",
        },
    ),
    slowReaderTimeout: createRow(
        "Limits",
        "TIME",
        parseDuration,
        "Timeout for a caller that does not read its response.",
        {
            defaultText: "30s",
        },
    ),
    drainTimeout: createRow("Limits", "TIME", parseDuration, "Timeout of a drain.", {
        defaultText: "60s",
    }),
    idempotencyRecords: createRow(
        "Limits",
        "COUNT",
        parseCount,
        "Maximum number of recorded responses of keyed calls.",
        {
            defaultText: "10000",
        },
    ),
    idempotencyBytes: createRow(
        "Limits",
        "SIZE",
        parseBytes,
        "Maximum total size of recorded responses of keyed calls.",
        {
            defaultText: "16MiB",
        },
    ),
} as const satisfies Readonly<Record<string, SettingRow<unknown>>>;

export type SettingKey = keyof typeof settingsTable;

export const settingKeys = Object.keys(settingsTable) as readonly SettingKey[];

export function formatFlag(key: string): string {
    return `--${key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

export function formatVariable(key: string): string {
    return `RHUBARBWHEEL_${key.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`;
}
