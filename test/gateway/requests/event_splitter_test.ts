/** Splitting of a stream into complete events. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { EventScanner } from "../../../src/gateway/requests/event_scanner.ts";
import { EventSplitter } from "../../../src/gateway/requests/event_splitter.ts";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\n\n"];

test("parts of any size yield the same complete events", () => {
  const cuts = fc.array(fc.nat(EVENTS.join("").length));
  fc.assert(fc.property(cuts, (positions) => {
    const all = Buffer.from(EVENTS.join("") + "id: 4\nda");
    const offsets = [0, ...positions.sort((a, b) => a - b), all.length];
    const scanner = new EventScanner();
    const splitter = new EventSplitter();
    let forwarded = "";
    let lastId: string | undefined;
    for (let at = 1; at < offsets.length; at++) {
      const part = all.subarray(offsets[at - 1], offsets[at]);
      scanner.push(part);
      const complete = splitter.push(part, scanner.endInPart);
      forwarded += complete?.bytes.toString() ?? "";
      lastId = complete?.lastId ?? lastId;
      assert.ok(EVENTS.join("").startsWith(forwarded));
      assert.ok(forwarded === "" || /\n\r?\n$/.test(forwarded));
    }
    assert.equal(forwarded, EVENTS.join(""));
    assert.equal(lastId, "3");
    assert.equal(splitter.remainder.toString(), "id: 4\nda");
  }));
});
