/** Renders the help text, the effective settings and problems with settings. */
import type { SettingsProblem } from "./parseSettings.js";
import type { Settings } from "./settings.js";
import type { SettingRow } from "./settingsTable.js";
import { formatFlag, formatVariable, settingKeys, settingsTable } from "./settingsTable.js";

const usage = `Usage: rhubarbwheeld [flags]

Runs a router. Each setting can be passed as a flag or as an environment variable; the flag takes precedence. Secrets
are read from a file or an environment variable, never from a flag.

  --help
      Print this text.
  --check-settings
      Check the settings, print the effective ones without secrets, and exit.
`;

/** Text of `--help`. */
export function renderHelp(): string {
    const rows = settingKeys.map(key => ({ key, row: settingsTable[key] as SettingRow<unknown> }));
    const groups = [...new Set(rows.map(({ row }) => row.group))];
    const sections = groups.map(group => {
        const entries = rows.filter(({ row }) => row.group === group).map(({ key, row }) => renderRow(key, row));
        return `\n${group}:\n${entries.join("")}`;
    });
    return usage + sections.join("");
}

function renderRow(key: string, row: SettingRow<unknown>): string {
    const suffix = row.required ? " Required." : row.defaultText ? ` Default ${row.defaultText}.` : "";
    return `  ${formatFlag(key)} ${row.placeholder}\n      ${row.description}${suffix}\n      ${formatVariable(key)}\n`;
}

/** Output of `--check-settings`. */
export function renderSettings(settings: Settings): string {
    const lines = settings.effective.map(({ flag, text, source }) => `${flag} ${text} (${source})\n`);
    return `${lines.join("")}operator token: [hidden]\nfleet secret: [hidden]\npeer address: ${settings.peerAddress}\n`;
}

export function renderProblems(problems: readonly SettingsProblem[]): string {
    return problems.map(({ flag, variable, problem, remedy }) => {
        const name = variable === "" ? flag : `${flag} (${variable})`;
        return `${name === "" ? "" : `${name} `}${problem}. ${remedy}\n`;
    }).join("");
}
