/** Guards against log events or fields that are not in the catalogue, and against a peer that floods the log. */
import { eventCatalogue } from "@rhubarbwheel/telemetry/eventCatalogue";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPeerProblemLog } from "../src/createPeerProblemLog.js";

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const packages = [
    "fair-share",
    "membership",
    "configuration",
    "at-most-once",
    "reducer",
    "http-server",
    "daemon",
    "fleet-view",
    "placement",
    "forwarding",
];
const folders = [...packages.map(name => `packages/${name}/src`), "platform/src"];
const sources = folders.flatMap(folder =>
    readdirSync(`${root}${folder}`, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts"))
        .map(file => ({ file: `${folder}/${file}`, text: readFileSync(`${root}${folder}/${file}`, "utf8") }))
);

/** Event tables are named `...Events` and contain four-digit numbers from 1000 on. */
const tables = sources.flatMap(({ text }) => [...text.matchAll(/export const \w*[eE]vents = \{([^}]*)\}/g)])
    .map(([, body = ""]) => [...body.matchAll(/(\w+): (\d{4}),?/g)].map(([, key = "", number]) => ({ key, number })));

test("the event tables and the catalogue contain the same numbers", () => {
    const emitted = tables.flat().map(({ number }) => Number(number));
    assert.is(tables.length, 14);
    assert.is(new Set(emitted).size, emitted.length, "two events share a number");
    assert.equal(emitted.sort((one, other) => one - other), Object.keys(eventCatalogue).map(Number));
});

test("event keys are unique across tables, because the other tests look up numbers by key", () => {
    const keys = tables.flat().map(({ key }) => key);
    assert.equal(keys.filter((key, index) => keys.indexOf(key) !== index), []);
});

test("each event of the tables is emitted, and no event is emitted by a literal number", () => {
    const all = sources.map(({ text }) => text).join("\n");
    const keysFromState = new Set(["alive", "suspect", "dead", "left"]);
    for (const { key, number } of tables.flat()) {
        const isEmitted = keysFromState.has(key)
            || new RegExp(`[Ee]vents\\.${key}\\b|\\w*[lL]og\\w*\\([^)]*"${key}"`).test(all);
        assert.ok(isEmitted, `${number} ${key} is never emitted`);
    }
    for (const { file, text } of sources)
        assert.not.match(text, /(logEvent\(|\blog\(|type: "log",\s*event: )1\d{3}/, `${file} logs a literal number`);
});

test("each logged field is in the catalogue", () => {
    const numbers = new Map(tables.flat().map(({ key, number }) => [key, Number(number)]));
    let checked = 0;
    for (const { file, text } of sources) {
        const calls = text.matchAll(/(?:Event\(context, "|createLog\("|Events\.)(\w+)"?, (?:[\w.]+, )?\{([^}]*)\}\)/g);
        for (const [, key = "", body = ""] of calls) {
            const fields = [...body.matchAll(/(?:^|[,{]\s*|\s{2,})([a-z]\w*)(?=\s*[:,]|\s*$)/g)].map(([, name]) =>
                name
            );
            for (const name of fields) {
                const kind = eventCatalogue[numbers.get(key) ?? 0];
                assert.ok(kind?.fields.includes(name ?? ""), `${file}: event ${key} has a field ${name}`);
                checked += 1;
            }
        }
    }
    assert.ok(checked > 50, `only ${checked} fields were found`);
});

test("repeated problems of one peer are logged at most once per second", () => {
    let now = 0;
    const lines: object[] = [];
    const logProblem = createPeerProblemLog({ getNow: () => now, logProblem: fields => lines.push(fields) });
    for (now = 0; now < 2_500; now += 100) logProblem("r1", "refused");
    logProblem("r2", "refused");
    assert.equal(lines, [
        { router: "r1", reason: "refused", omitted: 0 },
        { router: "r1", reason: "refused", omitted: 9 },
        { router: "r1", reason: "refused", omitted: 9 },
        { router: "r2", reason: "refused", omitted: 0 },
    ]);
});

test.run();
