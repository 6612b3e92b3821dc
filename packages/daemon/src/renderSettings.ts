/** Texts about settings: help, effective settings, problems. */
import type { SettingsProblem } from "./parseSettings.js";
import type { Settings } from "./settings.js";
import type { SettingRow } from "./settingsTable.js";
import { formatFlag, formatVariable, settingKeys, settingsTable } from "./settingsTable.js";

const usage = `Usage: rhubarbwheeld [flags]

Runs a router. Each flag can also be given as an environment variable; the flag is used when both are given. A secret
is given in a file or in a variable, never as the value of a flag.

  --help
      Print this text.
  --check-settings
      Check the settings, print the effective ones without secrets, and exit.
`;

/** The whole text of `--help`. */
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
    return `  ${formatFlag(key)} ${row.value}\n      ${row.description}${suffix}\n      ${formatVariable(key)}\n`;
}

/** The output of `--check-settings`. */
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
