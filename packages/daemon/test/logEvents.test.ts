/** Guards against log lines that the catalogue does not explain, and against a peer that floods the log. */
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

/** Tables are named `...Events` and hold numbers from 1000 on. */
const tables = sources.flatMap(({ text }) => [...text.matchAll(/export const \w*[eE]vents = \{([^}]*)\}/g)])
    .map(([, body = ""]) => [...body.matchAll(/(\w+): (\d{4}),?/g)].map(([, key = "", number]) => ({ key, number })));

test("each number that the code emits is in the catalogue, and the catalogue has no other", () => {
    const emitted = tables.flat().map(({ number }) => Number(number));
    assert.is(tables.length, 11);
    assert.is(new Set(emitted).size, emitted.length, "two events share a number");
    assert.equal(emitted.sort((one, other) => one - other), Object.keys(eventCatalogue).map(Number));
});

test("no two tables use the same key, by which the other tests find the number of an event", () => {
    const keys = tables.flat().map(({ key }) => key);
    assert.equal(keys.filter((key, index) => keys.indexOf(key) !== index), []);
});

test("each event of the tables is emitted, and none by a bare number", () => {
    const all = sources.map(({ text }) => text).join("\n");
    const dynamic = new Set(["alive", "suspect", "dead", "left"]);
    for (const { key, number } of tables.flat()) {
        const isEmitted = dynamic.has(key)
            || new RegExp(`[Ee]vents\\.${key}\\b|\\w*[lL]og\\w*\\([^)]*"${key}"`).test(all);
        assert.ok(isEmitted, `${number} ${key} is never emitted`);
    }
    for (const { file, text } of sources)
        assert.not.match(text, /(logEvent\(|\blog\(|type: "log",\s*event: )1\d{3}/, `${file} logs a bare number`);
});

test("each field that the code logs is in the catalogue", () => {
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

test("a peer that is refused again and again fills no log", () => {
    let now = 0;
    const lines: object[] = [];
    const report = createPeerProblemLog({ getNow: () => now, logProblem: fields => lines.push(fields) });
    for (now = 0; now < 2_500; now += 100) report("r1", "refused");
    report("r2", "refused");
    assert.equal(lines, [
        { router: "r1", reason: "refused", omitted: 0 },
        { router: "r1", reason: "refused", omitted: 9 },
        { router: "r1", reason: "refused", omitted: 9 },
        { router: "r2", reason: "refused", omitted: 0 },
    ]);
});

test.run();
