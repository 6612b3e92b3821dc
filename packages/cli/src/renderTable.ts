/** Renders a table with columns padded by spaces. */
import { replaceControlCharacters } from "@rhubarbwheel/configuration-check/replaceControlCharacters";

type Cell = string | number | undefined;

function formatCell(cell: Cell): string {
    return cell === undefined || cell === "" ? "-" : replaceControlCharacters(String(cell));
}

export function renderTable(headings: readonly string[], rows: readonly (readonly Cell[])[]): string {
    const lines = [[...headings], ...rows.map(row => row.map(formatCell))];
    const widths = headings.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
    return lines.map(line => {
        const cells = line.map((cell, column) => cell.padEnd(widths[column] ?? 0));
        return `${cells.join("  ").trimEnd()}\n`;
    }).join("");
}
