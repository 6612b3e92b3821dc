/** Parses single settings, reads the files that they name, and reports problems. */
import type { EffectiveSetting, Environment, Settings } from "./settings.js";
import type { SettingKey, SettingRow } from "./settingsTable.js";
import { formatFlag, formatVariable, settingsTable } from "./settingsTable.js";

export type ReadFile = (path: string) => Buffer;

type ParsedValue<K extends SettingKey> = (typeof settingsTable)[K] extends SettingRow<infer T> ? T : never;

/** Unparsed text of a setting. */
export interface RawSetting {
    readonly text: string;
    readonly source: EffectiveSetting["source"];
}

/** Each function returns undefined if the setting is not set or a problem has been reported for it. */
export interface SettingsReader {
    readonly parseSetting: <K extends SettingKey>(key: K) => ParsedValue<K> | undefined;
    /** Reads the secret from its file if one is set, otherwise from its environment variable. */
    readonly readSecret: (key: "operatorToken" | "fleetSecret") => string | undefined;
    readonly readTls: () => Settings["peerTls"];
    readonly resolvePeerAddress: (peerListen: string | undefined) => string | undefined;
}

const minSecretLength = 16;

export function createSettingsReader(opts: {
    readonly rawSettings: ReadonlyMap<SettingKey, RawSetting | undefined>;
    readonly environment: Environment;
    readonly readFile: ReadFile;
    readonly reportProblem: (key: string, problem: string, remedy: string) => undefined;
}): SettingsReader {
    const { rawSettings, environment, readFile, reportProblem } = opts;

    const parseSetting = <K extends SettingKey>(key: K): ParsedValue<K> | undefined => {
        const row: SettingRow<unknown> = settingsTable[key];
        const text = rawSettings.get(key)?.text;
        if (text === undefined)
            return row.required ? reportProblem(key, "is missing", `Set it to ${row.placeholder}.`) : undefined;
        const result = row.parse(text);
        if (result.ok) return result.val as ParsedValue<K>;
        return reportProblem(key, `${result.val}`, `Set it to ${row.placeholder}. ${row.description}`);
    };
    const readSettingFile = (key: SettingKey): Buffer | undefined => {
        const path = rawSettings.get(key)?.text;
        if (path === undefined) return undefined;
        try {
            return readFile(path);
        }
        catch (error) {
            const code = (error as NodeJS.ErrnoException).code ?? "error";
            return reportProblem(
                key,
                `names a file that cannot be read (${code})`,
                "Check the path and its permissions.",
            );
        }
    };
    const readSecret = (key: "operatorToken" | "fleetSecret"): string | undefined => {
        const fileKey = `${key}File` as const;
        const isFromFile = rawSettings.get(fileKey) !== undefined;
        const secret = isFromFile ? readSettingFile(fileKey)?.toString("utf8") : environment[formatVariable(key)];
        const remedy = `Set ${formatFlag(fileKey)} to a file, or ${formatVariable(key)} to the secret itself.`;
        if (secret === undefined) return isFromFile ? undefined : reportProblem(fileKey, "is missing", remedy);
        const trimmed = secret.trim();
        return trimmed.length >= minSecretLength
            ? trimmed
            : reportProblem(fileKey, `contains fewer than ${minSecretLength} characters`, "Use a longer random value.");
    };
    const readTls = (): Settings["peerTls"] => {
        const keys = ["peerTlsCertificateFile", "peerTlsKeyFile", "peerTlsAuthorityFile"] as const;
        const missing = keys.filter(key => rawSettings.get(key) === undefined);
        if (missing.length === keys.length) return undefined;
        for (const key of missing) reportProblem(key, "is missing", "Set all three peer TLS files, or none of them.");
        const [certificate, key, authority] = keys.map(readSettingFile);
        return certificate && key && authority ? { certificate, key, authority } : undefined;
    };
    const resolvePeerAddress = (peerListen: string | undefined): string | undefined => {
        if (rawSettings.get("peerAddress") !== undefined || peerListen === undefined)
            return parseSetting("peerAddress");
        const result = settingsTable.peerAddress.parse(peerListen);
        if (result.ok) return result.val;
        const remedy = "Set it to the IP address and port at which other routers reach this one.";
        return reportProblem("peerAddress", `is missing, and --peer-listen ${result.val}`, remedy);
    };

    return { parseSetting, readSecret, readTls, resolvePeerAddress };
}

/** A flag takes precedence over its environment variable, which takes precedence over the default. */
export function resolveRawSetting(
    key: SettingKey,
    flags: Map<string, string>,
    environment: Environment,
): RawSetting | undefined {
    const flag = flags.get(formatFlag(key).slice(2));
    if (flag !== undefined) return { text: flag, source: "flag" };
    const variable = environment[formatVariable(key)];
    if (variable !== undefined && variable !== "") return { text: variable, source: "variable" };
    const { defaultText }: SettingRow<unknown> = settingsTable[key];
    return defaultText === undefined ? undefined : { text: defaultText, source: "default" };
}
