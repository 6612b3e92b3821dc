/** Parses the settings of the daemon from command line flags and environment variables. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import results from "ts-results";
import type { Result } from "ts-results";
import type { Environment, Settings } from "./settings.js";
import type { ReadFile } from "./settingsReader.js";
import { createSettingsReader, resolveRawSetting } from "./settingsReader.js";
import { formatFlag, formatVariable, settingKeys } from "./settingsTable.js";

const { Err, Ok } = results;

export interface SettingsProblem {
    readonly flag: string;
    readonly variable: string;
    readonly problem: string;
    readonly remedy: string;
}

/** Action that the command line selects. `help` and `checkSettings` need no network. */
export type SettingsAction = "run" | "help" | "checkSettings";

const optionTypes: ReadonlyMap<string, "string" | "boolean"> = new Map([
    ...settingKeys.map(key => [formatFlag(key).slice(2), "string"] as const),
    ...["help", "check-settings"].map(name => [name, "boolean"] as const),
]);
const parserOptions = Object.fromEntries([...optionTypes].map(([name, type]) => [name, { type }]));

function parseTokens(argv: readonly string[]) {
    return parseArgs({ args: [...argv], options: parserOptions, strict: false, tokens: true }).tokens;
}

export function readSettingsAction(argv: readonly string[]): SettingsAction {
    const names = parseTokens(argv).flatMap(token => token.kind === "option" ? [token.name] : []);
    if (names.includes("help")) return "help";
    return names.includes("check-settings") ? "checkSettings" : "run";
}

/** Also reads the files that settings name. Returns all problems together; none contains the value of a secret. */
export function parseSettings(
    argv: readonly string[],
    environment: Environment,
    readFile: ReadFile = readFileSync,
): Result<Settings, SettingsProblem[]> {
    const problems: SettingsProblem[] = [];
    const reportProblem = (key: string, problem: string, remedy: string): undefined => {
        problems.push({ flag: formatFlag(key), variable: formatVariable(key), problem, remedy });
        return undefined;
    };
    const flags = readFlags(argv, problems);
    const rawSettings = new Map(settingKeys.map(key => [key, resolveRawSetting(key, flags, environment)]));

    const { parseSetting, readSecret, readTls, resolvePeerAddress } = createSettingsReader({
        rawSettings,
        environment,
        readFile,
        reportProblem,
    });
    const peerListen = parseSetting("peerListen");
    const peerTls = readTls();
    const statsd = parseSetting("statsd");
    const settings = {
        routerName: parseSetting("routerName"),
        failureDomain: parseSetting("failureDomain"),
        listen: parseSetting("listen"),
        peerListen,
        peerAddress: resolvePeerAddress(peerListen),
        platform: parseSetting("platform"),
        seeds: parseSetting("seeds"),
        operatorToken: readSecret("operatorToken"),
        fleetSecret: readSecret("fleetSecret"),
        ...(peerTls === undefined ? {} : { peerTls }),
        logLevel: parseSetting("logLevel"),
        logFormat: parseSetting("logFormat"),
        ...(statsd === undefined ? {} : { statsd }),
        maxBodyBytes: parseSetting("maxBodyBytes"),
        maxHeaderBytes: parseSetting("maxHeaderBytes"),
        maxOpenCalls: parseSetting("maxOpenCalls"),
        maxOpenCallsPerWorkspace: parseSetting("maxOpenCallsPerWorkspace"),
        maxConnections: parseSetting("maxConnections"),
        slowReaderTimeoutMs: parseSetting("slowReaderTimeout"),
        drainTimeoutMs: parseSetting("drainTimeout"),
        idempotencyRecords: parseSetting("idempotencyRecords"),
        idempotencyBytes: parseSetting("idempotencyBytes"),
        effective: settingKeys.flatMap(key => {
            const value = rawSettings.get(key);
            return value === undefined ? [] : [{ flag: formatFlag(key), ...value }];
        }),
    };
    // A required value is undefined only if a problem has been reported for it.
    return problems.length > 0 ? Err(problems) : Ok(settings as Settings);
}

function readFlags(argv: readonly string[], problems: SettingsProblem[]): Map<string, string> {
    const flags = new Map<string, string>();
    let unknownFlagAt: number | undefined;
    for (const token of parseTokens(argv)) {
        // A positional argument after an unknown flag is most likely the value of that flag.
        if (token.kind === "positional" && token.index - 1 === unknownFlagAt) continue;
        if (token.kind === "option" && optionTypes.get(token.name) === undefined) unknownFlagAt = token.index;
        if (token.kind === "option" && optionTypes.get(token.name) === "boolean") continue;
        const problem = checkToken(token);
        if (problem !== undefined) problems.push(problem);
        else if (token.kind === "option") flags.set(token.name, token.value ?? "");
    }
    return flags;
}

/** Omits the value of an unknown flag, because it may be a secret. */
function checkToken(token: ReturnType<typeof parseTokens>[number]): SettingsProblem | undefined {
    if (token.kind !== "option")
        return { flag: "", variable: "", problem: "unexpected argument that is not a flag", remedy: "See --help." };
    const flag = token.rawName;
    if (optionTypes.get(token.name) === undefined) {
        const remedy = /token|secret/.test(flag)
            ? "Give secrets in a file or an environment variable; see --help."
            : "See --help for all flags.";
        return { flag, variable: "", problem: "is not a known flag", remedy };
    }
    if (token.value !== undefined && token.value !== "") return undefined;
    const variable = `RHUBARBWHEEL_${token.name.replaceAll("-", "_").toUpperCase()}`;
    return { flag, variable, problem: "has no value", remedy: "Add the value after the flag." };
}
