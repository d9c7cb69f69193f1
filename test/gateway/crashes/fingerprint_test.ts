/** A request is known again by what it asks, not by its caller's id. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  fingerprintOf,
  type FingerprintSource,
} from "../../../src/gateway/crashes/fingerprint.ts";
import { whole } from "../raw_replica.ts";
import { withRig } from "../rig.ts";

const REQUEST: FingerprintSource = {
  method: "POST",
  host: "example",
  target: "/a/b",
  customer: "one",
  body: Buffer.from("text"),
};

test("requests that differ in any part have fingerprints of their own", () => {
  const others: Partial<FingerprintSource>[] = [
    { method: "PUT" },
    { host: "example.org" },
    { target: "/a/c" },
    { customer: "two" },
    { customer: undefined },
    { body: Buffer.from("texts") },
    { target: "/a/bt", body: Buffer.from("ext") },
  ];
  const prints = others.map((one) => fingerprintOf({ ...REQUEST, ...one }));
  const all = new Set([fingerprintOf(REQUEST), ...prints]);
  assert.equal(all.size, others.length + 1);
});

test("two tries whose answers break off are logged under one fingerprint", async () => {
  await withRig({
    route: { kind: "unsafe" },
    replicas: [{
      answer: (request, socket) => {
        socket.end(whole(request, "answer").slice(0, -1));
      },
    }],
  }, async (rig) => {
    await rig.call({ id: "first", method: "POST", body: "text" });
    await rig.call({ id: "second", method: "POST", body: "text" });
    await rig.call({ id: "third", method: "POST", body: "another" });
    const told = rig.events.filter(({ name }) => name === "failed")
      .map(({ fields }) => fields as Record<string, unknown>);
    const [first, second, third] = told.map((one) => one["fingerprint"]);
    assert.equal(told.length, 3);
    assert.equal(first, second);
    assert.notEqual(first, third);
    assert.equal(told[0]?.["replica"], "r0");
  });
});
