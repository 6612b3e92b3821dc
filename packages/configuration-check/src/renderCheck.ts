/** Renders the result of a check as text or JSON. */
import type { Difference } from "./compareEntries.js";
import { formatCount } from "./formatCount.js";
import type { LocatedFinding } from "./parseJsonDocument.js";
import { replaceControlCharacters } from "./replaceControlCharacters.js";

export interface CheckResult {
    readonly file: string;
    readonly findings: readonly LocatedFinding[];
    /** Number of resources in the file. */
    readonly resourceCount: number;
    /** Only with `--against`. */
    readonly against?: string;
    readonly comparison?: RenderedComparison;
}

export interface RenderedComparison {
    readonly differences: readonly Difference[];
    /** Number of entries in force by kind that were not compared. */
    readonly notCompared: Readonly<Record<string, number>>;
}

/** More findings than this have a common cause; JSON has all of them. */
const maxPrintedFindings = 200;

export function renderCheckAsJson(result: CheckResult): string {
    const { comparison, findings, ...rest } = result;
    const summary = { errors: countErrors(findings), warnings: findings.length - countErrors(findings) };
    // The path of a field in the document is the program's own; readers get the line and the column.
    const published = findings.map(finding => ({ ...finding, path: undefined }));
    return `${JSON.stringify({ ...rest, ...summary, findings: published, ...comparison }, undefined, 2)}\n`;
}

export function renderCheckAsText(result: CheckResult): string {
    const { findings, file } = result;
    const lines = findings.slice(0, maxPrintedFindings).flatMap(finding => renderFinding(file, finding));
    if (findings.length > maxPrintedFindings)
        lines.push(`and ${formatCount(findings.length - maxPrintedFindings, "more finding")}, see -o json`);
    if (result.comparison !== undefined) lines.push(...renderComparison(result.comparison, result.against ?? ""));
    const errorCount = countErrors(findings);
    const warningCount = findings.length - errorCount;
    const counts = [
        formatCount(result.resourceCount, "resource"),
        formatCount(errorCount, "error"),
        formatCount(warningCount, "warning"),
    ];
    lines.push(`${file}: ${counts.join(", ")}`);
    return lines.map(line => `${replaceControlCharacters(line)}\n`).join("");
}

function countErrors(findings: readonly LocatedFinding[]): number {
    return findings.filter(finding => finding.severity === "error").length;
}

function renderFinding(file: string, finding: LocatedFinding): readonly string[] {
    const { line, column, severity, code, entry, field, message, hint } = finding;
    const location = line === undefined ? "in force" : `${file}:${line}:${column}`;
    const subject = field === undefined ? entry : `${entry} ${field}`;
    return [`${location}: ${severity} ${code} ${subject}: ${message}`, `    hint: ${hint}`];
}

function renderComparison(comparison: RenderedComparison, against: string): readonly string[] {
    const notCompared = Object.entries(comparison.notCompared)
        .map(([kind, count]) => `    ${kind}: ${count} in force not compared, because the file has none`);
    if (comparison.differences.length === 0) return [`No differences from ${against}`, ...notCompared];
    return [`Differences from ${against}:`, ...comparison.differences.flatMap(renderDifference), ...notCompared];
}

function renderDifference({ change, entry, fields, effects }: Difference): readonly string[] {
    const names = fields.length === 0 ? "" : ` (${fields.join(", ")})`;
    return [`    ${change} ${entry}${names}`, ...effects.map(effect => `        ${effect}`)];
}
