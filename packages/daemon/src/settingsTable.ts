/** The settings of the daemon: one row each, from which flags, variables, help and checks are made. */
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

/** One setting. `parse` yields the value, or what is wrong with the text. */
export interface SettingRow<T> {
    readonly group: "Identity" | "Addresses" | "Secrets" | "Peer TLS" | "Logs and metrics" | "Limits";
    /** Placeholder of the value in the help text. */
    readonly value: string;
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

/** An address that others can connect to. */
function parseReachableAddress(text: string): Result<string, string> {
    return parseHostPort(text).andThen(({ host, port }) => {
        if (port === 0) return Err("has port 0, which others can't connect to");
        if (host === "0.0.0.0" || host === "::") return Err("is a wildcard, which others can't connect to");
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
            // The entry itself is not repeated, because a URL may hold a credential.
            ...parts.map((part, index) => parse(part).mapErr(problem => `has an entry (${index + 1}) that ${problem}`)),
        ) as Result<readonly T[], string>;
    };
}

function parsePlatform(text: string): Result<readonly string[], string> {
    return parseList(parseUrl)(text).andThen(urls => urls.length > 0 ? Ok(urls) : Err("names no URL"));
}

function parseUrl(text: string): Result<string, string> {
    const url = URL.canParse(text) ? new URL(text) : undefined;
    const host = url?.hostname.replace(/^\[|\]$/g, "") ?? "";
    if (url === undefined || !/^https?:$/.test(url.protocol) || isIP(host) === 0)
        return Err("is not an http or https URL with an IP address");
    if (url.username !== "" || url.password !== "") return Err("holds a credential, which must not be in a setting");
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

function parseQuantity(units: Readonly<Record<string, number>>, form: string) {
    return (text: string): Result<number, string> => {
        const match = /^(\d+)([A-Za-z]*)$/.exec(text);
        const factor = Object.hasOwn(units, match?.[2] ?? "?") ? units[match?.[2] ?? ""] : undefined;
        const value = Number(match?.[1]) * (factor ?? Number.NaN);
        return Number.isSafeInteger(value) && value > 0 ? Ok(value) : Err(`is not ${form}`);
    };
}

const parseBytes = parseQuantity(
    { "": 1, KiB: 1_024, MiB: 1_024 ** 2, GiB: 1_024 ** 3 },
    "a size above 0, such as 65536, 64KiB or 1MiB",
);
const parseDuration = parseQuantity({ "": 1, ms: 1, s: 1_000, m: 60_000 }, "a time above 0, such as 500, 500ms or 30s");
const parseCount = parseQuantity({ "": 1 }, "a whole number above 0");

function createRow<T>(
    group: SettingRow<T>["group"],
    value: string,
    parse: SettingRow<T>["parse"],
    description: string,
    rest: Pick<SettingRow<T>, "required" | "defaultText"> = {},
): SettingRow<T> {
    return { group, value, parse, description, ...rest };
}

const required = { required: true };

/** Key `someFlag` is the flag `--some-flag` and the variable `RHUBARBWHEEL_SOME_FLAG`. */
export const settingsTable = {
    routerName: createRow("Identity", "NAME", parseName, "Name of this router, unique in the fleet.", required),
    failureDomain: createRow("Identity", "NAME", parseName, "Failure domain that this host is in.", required),
    listen: createRow("Addresses", "IP:PORT", parseHostPort, "Address for callers and operators.", required),
    peerListen: createRow("Addresses", "IP:PORT", parseAddress, "Address for other routers.", required),
    peerAddress: createRow(
        "Addresses",
        "IP:PORT",
        parseReachableAddress,
        "Address at which other routers reach this one; --peer-listen by default.",
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
        "File with the operator token, at least 16 characters; or RHUBARBWHEEL_OPERATOR_TOKEN holds the token.",
    ),
    fleetSecretFile: createRow(
        "Secrets",
        "FILE",
        parseText,
        "File with the secret that routers share, at least 16 characters; or RHUBARBWHEEL_FLEET_SECRET holds it.",
    ),
    peerTlsCertificateFile: createRow("Peer TLS", "FILE", parseText, "Certificate chain of this router, PEM."),
    peerTlsKeyFile: createRow("Peer TLS", "FILE", parseText, "Private key of this router, PEM."),
    peerTlsAuthorityFile: createRow("Peer TLS", "FILE", parseText, "Authority that signs all routers, PEM."),
    logLevel: createRow(
        "Logs and metrics",
        "LEVEL",
        parseChoice("debug", "info", "warn", "error", "silent"),
        "Least level that is logged: debug, info, warn, error or silent.",
        { defaultText: "info" },
    ),
    logFormat: createRow(
        "Logs and metrics",
        "FORMAT",
        parseChoice("json", "text"),
        "Form of log lines: json or text.",
        { defaultText: "json" },
    ),
    statsd: createRow("Logs and metrics", "IP:PORT", parseHostPort, "StatsD server for metrics; none by default."),
    maxBodyBytes: createRow("Limits", "SIZE", parseBytes, "Greatest request body.", { defaultText: "1MiB" }),
    maxHeaderBytes: createRow("Limits", "SIZE", parseBytes, "Greatest size of request headers.", {
        defaultText: "16KiB",
    }),
    maxOpenCalls: createRow("Limits", "COUNT", parseCount, "Calls that may be open at once.", { defaultText: "4096" }),
    maxOpenCallsPerWorkspace: createRow(
        "Limits",
        "COUNT",
        parseCount,
        "Calls of one workspace that may be open at once.",
        {
            defaultText: "1024",
        },
    ),
    maxConnections: createRow("Limits", "COUNT", parseCount, "Connections of callers and operators.", {
        defaultText: "8192",
    }),
    slowReaderTimeout: createRow("Limits", "TIME", parseDuration, "Longest time that a caller may read nothing.", {
        defaultText: "30s",
    }),
    drainTimeout: createRow("Limits", "TIME", parseDuration, "Longest time that a drain may take.", {
        defaultText: "60s",
    }),
    idempotencyRecords: createRow("Limits", "COUNT", parseCount, "Answers of keyed calls that are kept.", {
        defaultText: "10000",
    }),
    idempotencyBytes: createRow("Limits", "SIZE", parseBytes, "Size of the answers of keyed calls that are kept.", {
        defaultText: "16MiB",
    }),
} as const satisfies Readonly<Record<string, SettingRow<unknown>>>;

export type SettingKey = keyof typeof settingsTable;

export const settingKeys = Object.keys(settingsTable) as readonly SettingKey[];

export function formatFlag(key: string): string {
    return `--${key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

export function formatVariable(key: string): string {
    return `RHUBARBWHEEL_${key.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`;
}
