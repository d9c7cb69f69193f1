/** Which responses belong to a call, by its id and its connection. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { isOwnResponse } from "../../../src/gateway/upstreams/own_response.ts";

const FRESH = { connection: 1, count: 0, hasSameId: false };
const REUSED = { connection: 1, count: 3, hasSameId: false };
const REPEATED = { connection: 1, count: 3, hasSameId: true };

test("a response that names the call is its own, once on a connection", () => {
  for (const status of [200, 404, 503]) {
    const named = { status, id: "a" };
    assert.equal(isOwnResponse("a", { ...named, carried: FRESH }), true);
    assert.equal(isOwnResponse("a", { ...named, carried: REUSED }), true);
    assert.equal(isOwnResponse("a", { ...named, carried: REPEATED }), false);
    assert.equal(isOwnResponse("b", { ...named, carried: FRESH }), false);
  }
});

test("an error that names no call is proof on a fresh connection only", () => {
  for (const status of [400, 404, 503]) {
    assert.equal(isOwnResponse("a", { status, carried: FRESH }), true);
    assert.equal(isOwnResponse("a", { status, carried: REUSED }), false);
  }
});

test("a success to a call with an id names it", () => {
  assert.equal(isOwnResponse("a", { status: 200, carried: FRESH }), false);
  assert.equal(
    isOwnResponse(undefined, { status: 200, carried: FRESH }),
    true,
  );
});

/** Calls on one connection, of few ids, some without one. */
const CALL_IDS = fc.array(
  fc.option(fc.constantFrom("a", "b", "c"), { nil: undefined }),
  { minLength: 2, maxLength: 8 },
);

test("no copy of a response is taken for that of a later call on its connection", () => {
  const errors = fc.constantFrom(400, 404, 503);
  fc.assert(
    fc.property(CALL_IDS, errors, fc.boolean(), (ids, status, named) => {
      const callId = ids.at(-1);
      const earlier = ids.slice(0, -1);
      const hasSameId = callId !== undefined && earlier.includes(callId);
      const carried = { connection: 1, count: earlier.length, hasSameId };
      for (const id of earlier) {
        const copy = named && id !== undefined ? { status, id } : { status };
        assert.equal(isOwnResponse(callId, { ...copy, carried }), false);
      }
    }),
  );
});
