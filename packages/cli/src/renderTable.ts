/** Renders a table with columns padded by spaces. */

type Cell = string | number | undefined;

/** Replaces control characters, which could otherwise send escape sequences to the operator's terminal. */
export function replaceControlCharacters(text: string): string {
    // eslint-disable-next-line no-control-regex -- these are the characters to replace
    return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, "?");
}

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
