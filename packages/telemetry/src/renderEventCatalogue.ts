/** Renders the event catalogue as `docs/events.md`. */
import { eventCatalogue, eventRanges } from "./eventCatalogue.js";
import type { EventKind } from "./eventKind.js";

const rangeSize = 100;

const introduction = `# Log events

Each log line has the number and the name of an event. Numbers are stable, so alerts should refer to them. This page is
generated from \`packages/telemetry/src/eventCatalogue.ts\` by \`npm run generate:docs -w @rhubarbwheel/telemetry\`.

With \`--log-format json\` a line is one JSON object with \`time\`, \`level\`, \`event\`, \`name\`, \`message\` and the
fields of the event. With \`--log-format text\` the fields follow the message as \`name=value\`. Values of fields that
contain a token, a secret, a password or an authorization are replaced by \`[hidden]\`.

An event that is not listed here is logged as \`event-<number>\` with level info.
`;

export function renderEventCatalogue(catalogue: Readonly<Record<number, EventKind>> = eventCatalogue): string {
    const sections = Object.entries(eventRanges).map(([start, title]) => {
        const first = Number(start);
        const rows = Object.entries(catalogue)
            .filter(([number]) => Number(number) >= first && Number(number) < first + rangeSize)
            .map(([number, kind]) => renderRow(Number(number), kind));
        const heading = `\n## ${title} (${first} to ${first + rangeSize - 1})\n\n`;
        if (rows.length === 0) return `${heading}No events.\n`;
        return `${heading}| number | name | level | message | fields |\n|---|---|---|---|---|\n${rows.join("")}`;
    });
    return introduction + sections.join("");
}

function renderRow(number: number, kind: EventKind): string {
    const fields = kind.fields.map(field => `\`${field}\``).join(", ");
    return `| ${number} | \`${kind.name}\` | ${kind.level} | ${kind.message} | ${fields} |\n`;
}
