/** Tests how often a host sends the full listing to peers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ListingPacer } from "../../../src/gateway/peers/listing_pacer.ts";

// Guards against seeds that send all replicas to each host of a starting fleet.
test("a large listing is sent less often than a small one", () => {
  const countIn = (durationMs: number, size: number) => {
    const pacer = new ListingPacer();
    let count = 0;
    for (let now = 0; now < durationMs; now++) {
      if (pacer.take(size, now)) count += 1;
    }
    return count;
  };
  assert.equal(countIn(3000, 5000), 3);
  assert.equal(countIn(3000, 500), 30);
  assert.equal(countIn(3000, 1), 3000);
});
