/**
 * While no planner responds, hosts choose replicas themselves: a customer that
 * was held to its share must not flood the service then.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LastRatios } from "../../../src/gateway/planning/last_ratios.ts";

const HOT = { service: "s", customer: "hot" };

test("a customer keeps the ratio of the planner's last decisions for some seconds", () => {
  const ratios = new LastRatios();
  assert.equal(ratios.ratioOf(HOT, 0), 1);
  for (let now = 0; now < 4000; now += 10) {
    ratios.note(HOT, now % 40 === 0, now);
    ratios.note({ ...HOT, customer: "other" }, true, now);
  }
  const ratio = ratios.ratioOf(HOT, 6000);
  assert.ok(ratio > 0.2 && ratio < 0.3, String(ratio));
  assert.equal(ratios.ratioOf({ ...HOT, customer: "other" }, 6000), 1);
  assert.equal(ratios.ratioOf({ ...HOT, service: "t" }, 6000), 1);
  assert.equal(ratios.ratioOf(HOT, 9000), 1);
});

test("a customer of which everything was refused gets a small part", () => {
  const ratios = new LastRatios();
  for (let now = 0; now < 100; now++) ratios.note(HOT, false, now);
  assert.equal(ratios.ratioOf(HOT, 100), 0.05);
});
