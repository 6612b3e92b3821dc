/** Reads the settings of the daemon from flags and environment variables, and renders help and effective settings. */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import results from "ts-results";
import type { Result } from "ts-results";
import type { Environment, Settings } from "./settings.js";
import type { ReadFile } from "./settingsReader.js";
import { createSettingsReader, findGiven } from "./settingsReader.js";
import { formatFlag, formatVariable, settingKeys } from "./settingsTable.js";

const { Err, Ok } = results;

export interface SettingsProblem {
    readonly flag: string;
    readonly variable: string;
    readonly problem: string;
    readonly remedy: string;
}

/** What the command line asks for; help and the check need no network. */
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

    const { parseOne, readSecret, readTls, findPeerAddress } = createSettingsReader({
        given,
        environment,
        readFile,
        report,
    });
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
        if (token.kind === "option" && optionTypes.get(token.name) === undefined) unknownFlagAt = token.index;
        if (token.kind === "option" && optionTypes.get(token.name) === "boolean") continue;
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
    if (optionTypes.get(token.name) === undefined) {
        const remedy = /token|secret/.test(flag)
            ? "Give secrets in a file or an environment variable; see --help."
            : "See --help for all flags.";
        return { flag, variable: "", problem: "is not a known flag", remedy };
    }
    if (token.value !== undefined && token.value !== "") return undefined;
    const variable = `RHUBARBWHEEL_${token.name.replaceAll("-", "_").toUpperCase()}`;
    return { flag, variable, problem: "has no value", remedy: "Give the value after the flag." };
}
