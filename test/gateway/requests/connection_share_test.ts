/** Hosts together keep to the connections that a replica takes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { connectionShare } from "../../../src/gateway/requests/sender.ts";

test("the hosts' parts of a replica's connections add up to no more than it takes", () => {
  const sizes = fc.record({
    limit: fc.integer({ min: 1, max: 2000 }),
    hosts: fc.integer({ min: 1, max: 400 }),
  });
  fc.assert(fc.property(sizes, ({ limit, hosts }) => {
    const share = connectionShare(limit, hosts);
    assert.ok(share >= 1);
    if (hosts <= limit) assert.ok(share * hosts <= limit);
  }));
  // 330 hosts before replicas that take 370 connections opened up to 1,320.
  assert.equal(connectionShare(370, 330), 1);
  assert.equal(connectionShare(110, 9), 9);
});
