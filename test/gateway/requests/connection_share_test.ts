/** The connection limit of a replica, shared by all hosts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { connectionShare } from "../../../src/gateway/upstreams/connection_share.ts";

test("the connection shares of all hosts stay within a replica's limit", () => {
  const sizes = fc.record({
    limit: fc.integer({ min: 1, max: 2000 }),
    hosts: fc.integer({ min: 1, max: 400 }),
  });
  fc.assert(fc.property(sizes, ({ limit, hosts }) => {
    const share = connectionShare(limit, hosts);
    assert.ok(share >= 1);
    if (hosts <= limit) assert.ok(share * hosts <= limit);
  }));
  // With barely more connections than hosts, each host gets a single one.
  assert.equal(connectionShare(370, 330), 1);
  assert.equal(connectionShare(110, 9), 9);
});
