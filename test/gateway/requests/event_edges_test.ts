/** Whole events, however a stream is cut into parts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { EventEdges } from "../../../src/gateway/requests/event_edges.ts";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\n\n"];

test("parts of any size give the same events, never half a one", () => {
  const cuts = fc.array(fc.nat(EVENTS.join("").length));
  fc.assert(fc.property(cuts, (positions) => {
    const all = Buffer.from(EVENTS.join("") + "id: 4\nda");
    const edges = [0, ...positions.sort((a, b) => a - b), all.length];
    const reader = new EventEdges();
    let passed = "";
    let lastId: string | undefined;
    for (let at = 1; at < edges.length; at++) {
      const whole = reader.push(all.subarray(edges[at - 1], edges[at]));
      passed += whole.bytes.toString();
      lastId = whole.lastId ?? lastId;
      assert.ok(EVENTS.join("").startsWith(passed));
      assert.ok(passed === "" || /\n\r?\n$/.test(passed));
    }
    assert.equal(passed, EVENTS.join(""));
    assert.equal(lastId, "3");
    assert.equal(reader.rest.toString(), "id: 4\nda");
  }));
});
