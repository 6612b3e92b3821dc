/** Guards against outdated generated pages, and against duplicate names and numbers outside of the ranges. */
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { eventCatalogue, eventRanges } from "../src/eventCatalogue.js";
import { renderMetricCatalogue } from "../src/metricCatalogue.js";
import { renderEventCatalogue } from "../src/renderEventCatalogue.js";

const pages = [["events.md", renderEventCatalogue()], ["metrics.md", renderMetricCatalogue()]] as const;
for (const [name, expected] of pages) {
    test(`docs/${name} matches the code (update it with npm run generate:docs)`, () => {
        assert.fixture(readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), "utf8"), expected);
    });
}

test("each event has a unique name and a number within a range", () => {
    const names = Object.values(eventCatalogue).map(kind => kind.name);
    assert.is(new Set(names).size, names.length);
    for (const number of Object.keys(eventCatalogue)) {
        const start = Math.floor(Number(number) / 100) * 100;
        assert.ok(eventRanges[start] !== undefined, `${number} is outside of all ranges`);
    }
});

test.run();
