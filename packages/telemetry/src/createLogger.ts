/** Logger of numbered events, based on loglevel. Values of fields with secret names are redacted. */
import loglevel from "loglevel";
import { eventCatalogue } from "./eventCatalogue.js";
import type { EventKind, EventLevel } from "./eventKind.js";

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface LoggerOptions {
    readonly level: EventLevel | "silent";
    readonly format: "json" | "text";
    /** Called with one line, including its line feed. */
    readonly write: (line: string) => void;
    /** Time of a line. Defaults to the system clock. */
    readonly getTime?: () => Date;
    readonly catalogue?: Readonly<Record<number, EventKind>>;
}

export interface Logger {
    /** Never throws; an unknown number is logged as `event-<number>` with level info. */
    readonly logEvent: (event: number, fields?: LogFields) => void;
    readonly setLevel: (level: EventLevel | "silent") => void;
}

const redactedText = "[hidden]";
const secretWords = new Set(["token", "secret", "authorization", "password"]);

export function createLogger(opts: LoggerOptions): Logger {
    const catalogue = opts.catalogue ?? eventCatalogue;
    const getTime = opts.getTime ?? (() => new Date());
    const formatLine = opts.format === "json" ? formatJson : formatText;
    // A unique symbol keeps loggers apart, because loglevel returns the same logger for the same name.
    const logger = loglevel.getLogger(Symbol("rhubarbwheel"));
    // loglevel replaces methods below the level with no-ops, so omitted lines are not formatted.
    logger.methodFactory = () => (event: number, kind: EventKind, fields: LogFields) =>
        opts.write(formatLine({ time: getTime().toISOString(), event, kind }, redactFields(fields)));
    logger.setLevel(opts.level, false);

    return {
        logEvent: (event, fields = {}) => {
            const kind = catalogue[event] ?? createUnknownKind(event);
            try {
                logger[kind.level](event, kind, fields);
            }
            catch {
                // A log that can't be written must not fail the request that it describes.
            }
        },
        setLevel: level => logger.setLevel(level, false),
    };
}

function createUnknownKind(event: number): EventKind {
    return { name: `event-${event}`, level: "info", message: "An event that is not in the catalogue.", fields: [] };
}

/** Cache of `isSecretName`. Its size is bounded by the number of field names in the catalogue. */
const secretNames = new Map<string, boolean>();

function isSecretName(name: string): boolean {
    const cached = secretNames.get(name);
    if (cached !== undefined) return cached;
    const words = name.split(/[^A-Za-z]+|(?=[A-Z])/).map(word => word.toLowerCase());
    const isSecret = words.some(word => secretWords.has(word)) || secretWords.has(name.toLowerCase());
    secretNames.set(name, isSecret);
    return isSecret;
}

/** Replaces values of fields such as `operatorToken`, and bearer credentials within other values. */
function redactFields(fields: LogFields): LogFields {
    return Object.fromEntries(
        Object.entries(fields).map(([name, value]) => {
            if (value !== undefined && isSecretName(name)) return [name, redactedText];
            return [
                name,
                typeof value === "string" ? value.replace(/\bBearer\s+\S+/gi, `Bearer ${redactedText}`) : value,
            ];
        }),
    );
}

interface LineMetadata {
    readonly time: string;
    readonly event: number;
    readonly kind: EventKind;
}

function formatJson(metadata: LineMetadata, fields: LogFields): string {
    const { time, event, kind } = metadata;
    const reserved = { time, level: kind.level, event, name: kind.name, message: kind.message };
    return `${JSON.stringify({ ...reserved, ...fields, ...reserved })}\n`;
}

function formatText(metadata: LineMetadata, fields: LogFields): string {
    const { time, event, kind } = metadata;
    const pairs = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => ` ${name}=${formatValue(value)}`);
    return `${time} ${kind.level.toUpperCase().padEnd(5)} ${event} ${kind.name}: ${kind.message}${pairs.join("")}\n`;
}

/** Quotes values that could be parsed as another field or another line. */
function formatValue(value: string | number | boolean | undefined): string {
    const text = String(value);
    return /^[\w./:@+-]+$/.test(text) ? text : JSON.stringify(text);
}
