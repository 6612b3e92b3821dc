/** Reads the settings of the daemon from flags and environment variables, and renders help and effective settings. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import results from "ts-results";
import type { Result } from "ts-results";
import type { HostPort, Seed, SettingKey, SettingRow } from "./settingsTable.js";
import { formatFlag, formatVariable, settingKeys, settingsTable } from "./settingsTable.js";

const { Err, Ok } = results;

/** Durations are in milliseconds, sizes in bytes. */
export interface Settings {
    readonly routerName: string;
    readonly failureDomain: string;
    readonly listen: HostPort;
    /** `ip:port`. */
    readonly peerListen: string;
    /** `ip:port` at which other routers reach this one. */
    readonly peerAddress: string;
    readonly platform: readonly string[];
    readonly seeds: readonly Seed[];
    readonly operatorToken: string;
    readonly fleetSecret: string;
    readonly peerTls?: { readonly certificate: Buffer; readonly key: Buffer; readonly authority: Buffer; };
    readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
    readonly logFormat: "json" | "text";
    readonly statsd?: HostPort;
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly maxOpenCalls: number;
    readonly maxOpenCallsPerWorkspace: number;
    readonly maxConnections: number;
    readonly slowReaderTimeoutMs: number;
    readonly drainTimeoutMs: number;
    readonly idempotencyRecords: number;
    readonly idempotencyBytes: number;
    /** Text of each setting and where it came from, without secrets. */
    readonly effective: readonly EffectiveSetting[];
}

export interface EffectiveSetting {
    readonly flag: string;
    readonly text: string;
    readonly source: "flag" | "variable" | "default";
}

export interface SettingsProblem {
    readonly flag: string;
    readonly variable: string;
    readonly problem: string;
    readonly remedy: string;
}

export type Environment = Readonly<Record<string, string | undefined>>;

/** What the command line asks for; help and the check need no network. */
export type SettingsAction = "run" | "help" | "checkSettings";

type ReadFile = (path: string) => Buffer;
type ParsedValue<K extends SettingKey> = (typeof settingsTable)[K] extends SettingRow<infer T> ? T : never;

/** A setting given by flag is used even when its variable is set too. */
interface Given {
    readonly text: string;
    readonly source: EffectiveSetting["source"];
}

const minSecretLength = 16;

const optionTypes = Object.fromEntries([
    ...settingKeys.map(key => [formatFlag(key).slice(2), { type: "string" }] as const),
    ...["help", "check-settings"].map(name => [name, { type: "boolean" }] as const),
]);

function parseTokens(argv: readonly string[]) {
    return parseArgs({ args: [...argv], options: optionTypes, strict: false, tokens: true }).tokens;
}

export function readSettingsAction(argv: readonly string[]): SettingsAction {
    const names = parseTokens(argv).flatMap(token => token.kind === "option" ? [token.name] : []);
    if (names.includes("help")) return "help";
    return names.includes("check-settings") ? "checkSettings" : "run";
}

/** Reads files named by settings. All problems are returned at once; none contains the value of a secret. */
export function parseSettings(
    argv: readonly string[],
    environment: Environment,
    readFile: ReadFile = readFileSync,
): Result<Settings, SettingsProblem[]> {
    const problems: SettingsProblem[] = [];
    const report = (key: string, problem: string, remedy: string): undefined => {
        problems.push({ flag: formatFlag(key), variable: formatVariable(key), problem, remedy });
        return undefined;
    };
    const flags = readFlags(argv, problems);
    const given = new Map(settingKeys.map(key => [key, findGiven(key, flags, environment)]));

    const parseOne = <K extends SettingKey>(key: K): ParsedValue<K> | undefined => {
        const row: SettingRow<unknown> = settingsTable[key];
        const text = given.get(key)?.text;
        if (text === undefined)
            return row.required ? report(key, "is missing", `Set it to ${row.value}.`) : undefined;
        const result = row.parse(text);
        if (result.ok) return result.val as ParsedValue<K>;
        return report(key, `${result.val}`, `Set it to ${row.value}. ${row.description}`);
    };
    const readNamedFile = (key: SettingKey): Buffer | undefined => {
        const path = given.get(key)?.text;
        if (path === undefined) return undefined;
        try {
            return readFile(path);
        }
        catch (error) {
            const code = (error as NodeJS.ErrnoException).code ?? "error";
            return report(key, `names a file that can't be read (${code})`, "Check the path and its permissions.");
        }
    };
    const readSecret = (key: "operatorToken" | "fleetSecret"): string | undefined => {
        const fileKey = `${key}File` as const;
        const fromFile = given.get(fileKey) !== undefined;
        const secret = fromFile ? readNamedFile(fileKey)?.toString("utf8") : environment[formatVariable(key)];
        const remedy = `Set ${formatFlag(fileKey)} to a file, or ${formatVariable(key)} to the secret itself.`;
        if (secret === undefined) return fromFile ? undefined : report(fileKey, "is missing", remedy);
        const trimmed = secret.trim();
        return trimmed.length >= minSecretLength
            ? trimmed
            : report(fileKey, `holds fewer than ${minSecretLength} characters`, "Use a longer random value.");
    };
    const readTls = (): Settings["peerTls"] => {
        const keys = ["peerTlsCertificateFile", "peerTlsKeyFile", "peerTlsAuthorityFile"] as const;
        const missing = keys.filter(key => given.get(key) === undefined);
        if (missing.length === keys.length) return undefined;
        for (const key of missing) report(key, "is missing", "Set all three peer TLS files, or none.");
        const [certificate, key, authority] = keys.map(readNamedFile);
        return certificate && key && authority ? { certificate, key, authority } : undefined;
    };
    const findPeerAddress = (peerListen: string | undefined): string | undefined => {
        if (given.get("peerAddress") !== undefined || peerListen === undefined) return parseOne("peerAddress");
        const result = settingsTable.peerAddress.parse(peerListen);
        if (result.ok) return result.val;
        const remedy = "Set it to the IP address and port at which other routers reach this one.";
        return report("peerAddress", `is missing, and --peer-listen ${result.val}`, remedy);
    };

    const peerListen = parseOne("peerListen");
    const peerTls = readTls();
    const statsd = parseOne("statsd");
    const settings = {
        routerName: parseOne("routerName"),
        failureDomain: parseOne("failureDomain"),
        listen: parseOne("listen"),
        peerListen,
        peerAddress: findPeerAddress(peerListen),
        platform: parseOne("platform"),
        seeds: parseOne("seeds"),
        operatorToken: readSecret("operatorToken"),
        fleetSecret: readSecret("fleetSecret"),
        ...(peerTls === undefined ? {} : { peerTls }),
        logLevel: parseOne("logLevel"),
        logFormat: parseOne("logFormat"),
        ...(statsd === undefined ? {} : { statsd }),
        maxBodyBytes: parseOne("maxBodyBytes"),
        maxHeaderBytes: parseOne("maxHeaderBytes"),
        maxOpenCalls: parseOne("maxOpenCalls"),
        maxOpenCallsPerWorkspace: parseOne("maxOpenCallsPerWorkspace"),
        maxConnections: parseOne("maxConnections"),
        slowReaderTimeoutMs: parseOne("slowReaderTimeout"),
        drainTimeoutMs: parseOne("drainTimeout"),
        idempotencyRecords: parseOne("idempotencyRecords"),
        idempotencyBytes: parseOne("idempotencyBytes"),
        effective: settingKeys.flatMap(key => {
            const value = given.get(key);
            return value === undefined ? [] : [{ flag: formatFlag(key), ...value }];
        }),
    };
    // A value is missing only if a problem has been reported for it.
    return problems.length > 0 ? Err(problems) : Ok(settings as Settings);
}

function readFlags(argv: readonly string[], problems: SettingsProblem[]): Map<string, string> {
    const flags = new Map<string, string>();
    let unknownFlagAt: number | undefined;
    for (const token of parseTokens(argv)) {
        // What follows an unknown flag is most likely its value.
        if (token.kind === "positional" && token.index - 1 === unknownFlagAt) continue;
        if (token.kind === "option" && optionTypes[token.name] === undefined) unknownFlagAt = token.index;
        if (token.kind === "option" && optionTypes[token.name]?.type === "boolean") continue;
        const problem = describeTokenProblem(token);
        if (problem !== undefined) problems.push(problem);
        else if (token.kind === "option") flags.set(token.name, token.value ?? "");
    }
    return flags;
}

/** Values of unknown flags are not repeated, because they may be secrets. */
function describeTokenProblem(token: ReturnType<typeof parseTokens>[number]): SettingsProblem | undefined {
    if (token.kind !== "option")
        return { flag: "", variable: "", problem: "an argument is not a flag", remedy: "See --help." };
    const flag = token.rawName;
    if (optionTypes[token.name] === undefined) {
        const remedy = /token|secret/.test(flag)
            ? "Give secrets in a file or an environment variable; see --help."
            : "See --help for all flags.";
        return { flag, variable: "", problem: "is not a known flag", remedy };
    }
    if (token.value !== undefined && token.value !== "") return undefined;
    const variable = `RHUBARBWHEEL_${token.name.replaceAll("-", "_").toUpperCase()}`;
    return { flag, variable, problem: "has no value", remedy: "Give the value after the flag." };
}

function findGiven(key: SettingKey, flags: Map<string, string>, environment: Environment): Given | undefined {
    const flag = flags.get(formatFlag(key).slice(2));
    if (flag !== undefined) return { text: flag, source: "flag" };
    const variable = environment[formatVariable(key)];
    if (variable !== undefined && variable !== "") return { text: variable, source: "variable" };
    const { defaultText }: SettingRow<unknown> = settingsTable[key];
    return defaultText === undefined ? undefined : { text: defaultText, source: "default" };
}
