/** Guards against a scanner that accepts or rejects other texts than `JSON.parse`, or finds other values in them. */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createPositionFinder, findJsonOffsets, findOffset } from "../src/findJsonOffsets.js";

function isJson(text: string): boolean {
    try {
        JSON.parse(text);
        return true;
    }
    catch {
        return false;
    }
}

/** JSON of a random value with one part replaced, so that many texts are almost JSON. */
const nearJson = fc.tuple(
    fc.json({ maxDepth: 4 }),
    fc.nat(),
    fc.nat(3),
    fc.constantFrom(
        "",
        ",",
        "\"",
        "\\",
        "\\u00",
        "{",
        "]",
        ":",
        "0",
        "-",
        "1e",
        ".5",
        "\u0001",
        "\t",
        "\n",
        "/*",
        "tru",
    ),
).map(([json, position, length, inserted]) => {
    const start = position % (json.length + 1);
    return json.slice(0, start) + inserted + json.slice(start + length);
});

test("finds a problem exactly where JSON.parse throws", () => {
    let rejectedCount = 0;
    const property = fc.property(nearJson, text => {
        const isAccepted = !("problem" in findJsonOffsets(text));
        rejectedCount += Number(!isAccepted);
        assert.is(isAccepted, isJson(text));
    });
    fc.assert(property, { seed: 4, numRuns: 5_000 });
    assert.ok(rejectedCount > 1_000 && rejectedCount < 4_500, `both cases occur: ${rejectedCount} rejected`);
});

test("the offset of a path is where its value begins", () => {
    const key = fc.stringMatching(/^[a-z]{1,3}$/);
    const property = fc.property(
        fc.array(fc.dictionary(key, fc.json(), { maxKeys: 4 })),
        fc.nat(3),
        (items, indent) => {
            const text = JSON.stringify(items, undefined, indent);
            const found = findJsonOffsets(text);
            if ("problem" in found) throw new Error(found.problem);
            for (const [index, item] of items.entries()) {
                for (const [name, value] of Object.entries(item)) {
                    const rest = text.slice(findOffset(found.root, `[${index}].${name}`));
                    assert.ok(rest.startsWith(JSON.stringify(value)), "the value is at the offset");
                }
            }
        },
    );
    fc.assert(property, { seed: 4 });
});

test("lines and columns agree with a count from the start", () => {
    fc.assert(
        fc.property(fc.string({ unit: fc.constantFrom("a", "\n", "ü", "😀") }), fc.nat(), (text, position) => {
            const offset = text.slice(0, position % (text.length + 1)).length;
            const lines = text.slice(0, offset).split("\n");
            const column = [...lines.at(-1) ?? ""].length + 1;
            assert.equal(createPositionFinder(text)(offset), { line: lines.length, column });
        }),
        { seed: 4 },
    );
});

// Guards against a count from the start of the line for each finding, which took 80 s for 8,000 findings in 0.7 MB.
test("20,000 positions in a single line of 4 MB are found with work that grows with their number", () => {
    const findPosition = createPositionFinder("x".repeat(4_000_000));
    for (let offset = 0; offset < 4_000_000; offset += 200)
        assert.is(findPosition(offset).column, offset + 1);
});

test.run();
