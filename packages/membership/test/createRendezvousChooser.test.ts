/** Choices by rendezvous hashing. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRendezvousChooser } from "../src/createRendezvousChooser.js";
import { hashText } from "../src/hashText.js";

const names = Array.from({ length: 20 }, (_, index) => `target-${index}`);
const keys = Array.from({ length: 4_000 }, (_, index) => `part-${index}`);

test("the choice does not depend on the order of the names or on earlier choices", () => {
    const used = createRendezvousChooser();
    const reversed = [...names].reverse();
    for (const key of keys.slice(0, 100))
        assert.is(used.choose(key, names), createRendezvousChooser().choose(key, reversed));
});

test("removing a name changes only the choices of that name", () => {
    const chooser = createRendezvousChooser();
    const others = names.filter(name => name !== "target-3");
    for (const key of keys.slice(0, 200)) {
        const before = chooser.choose(key, names);
        if (before !== "target-3") assert.is(chooser.choose(key, others), before);
    }
});

test("keys are spread evenly over the names", () => {
    const chooser = createRendezvousChooser();
    const counts = new Map<string, number>();
    for (const key of keys) {
        const name = chooser.choose(key, names) ?? "";
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    // The mean is 200 with a standard deviation of 14.
    for (const name of names) {
        const count = counts.get(name) ?? 0;
        assert.ok(count > 130 && count < 270, `${name}: ${count}`);
    }
});

// Guards against a coordinator without processor time: it hashed the names of all targets for each placement request.
test("each name is hashed once for all choices", () => {
    const hashed: string[] = [];
    const chooser = createRendezvousChooser(text => {
        hashed.push(text);
        return hashText(text);
    });
    chooser.choose("part-1", names);
    chooser.choose("part-2", names);
    assert.equal(hashed, ["part-1", ...names, "part-2"]);
});

test("there is no choice without names", () => {
    assert.is(createRendezvousChooser().choose("part", []), undefined);
});

test.run();
