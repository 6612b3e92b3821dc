/** Guards against error kinds without a usable hint and against unknown codes that are reported to the caller. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { errorCodes, getErrorKind, RouterError } from "../src/routerError.js";

test("each kind has a message that ends with a full stop, and a hint", () => {
    for (const code of errorCodes) {
        const kind = getErrorKind(code);
        assert.ok(kind.message.endsWith("."), code);
        assert.ok(kind.hint.length > 10, code);
    }
});

test("an unknown code is reported as an internal error", () => {
    assert.is(getErrorKind("NO_SUCH_CODE").code, "INTERNAL");
});

test("the detail is appended to the message", () => {
    const error = new RouterError("BODY_MALFORMED", { detail: "Field \"model\" is missing." });
    assert.is(error.status, 400);
    assert.ok(error.message.endsWith("Field \"model\" is missing."));
});

test.run();
