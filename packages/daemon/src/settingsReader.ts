/** Reads single settings from flags, variables and files, and reports what is wrong with them. */
import type { EffectiveSetting, Environment, Settings } from "./settings.js";
import type { SettingKey, SettingRow } from "./settingsTable.js";
import { formatFlag, formatVariable, settingsTable } from "./settingsTable.js";

export type ReadFile = (path: string) => Buffer;

type ParsedValue<K extends SettingKey> = (typeof settingsTable)[K] extends SettingRow<infer T> ? T : never;

export interface GivenSetting {
    readonly text: string;
    readonly source: EffectiveSetting["source"];
}

/** Each function returns undefined when the setting is missing or has been reported. */
export interface SettingsReader {
    readonly parseOne: <K extends SettingKey>(key: K) => ParsedValue<K> | undefined;
    /** From the file that is set, else from the variable that holds the secret itself. */
    readonly readSecret: (key: "operatorToken" | "fleetSecret") => string | undefined;
    readonly readTls: () => Settings["peerTls"];
    readonly findPeerAddress: (peerListen: string | undefined) => string | undefined;
}

const minSecretLength = 16;

export function createSettingsReader(opts: {
    readonly given: ReadonlyMap<SettingKey, GivenSetting | undefined>;
    readonly environment: Environment;
    readonly readFile: ReadFile;
    readonly report: (key: string, problem: string, remedy: string) => undefined;
}): SettingsReader {
    const { given, environment, readFile, report } = opts;

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

    return { parseOne, readSecret, readTls, findPeerAddress };
}

/** A setting given by flag is used even when its variable is set too. */
export function findGiven(
    key: SettingKey,
    flags: Map<string, string>,
    environment: Environment,
): GivenSetting | undefined {
    const flag = flags.get(formatFlag(key).slice(2));
    if (flag !== undefined) return { text: flag, source: "flag" };
    const variable = environment[formatVariable(key)];
    if (variable !== undefined && variable !== "") return { text: variable, source: "variable" };
    const { defaultText }: SettingRow<unknown> = settingsTable[key];
    return defaultText === undefined ? undefined : { text: defaultText, source: "default" };
}
