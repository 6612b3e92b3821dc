/** Ports for processes that start later. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../src/findFreePorts.js";

/** First port that Linux gives to outgoing connections by default. */
const firstOutgoingPort = 32_768;

// Guards against a process that cannot listen on its port, because an outgoing connection of another test has taken it.
test("ports are distinct and not among those of outgoing connections", async () => {
    const ports = await findFreePorts(50);
    assert.is(new Set(ports).size, 50);
    for (const port of ports) assert.ok(port > 1_024 && port < firstOutgoingPort, `${port}`);
});

test.run();
