/** Fingerprints depend on the content of a request, not on its id. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FingerprintInput,
  fingerprintOf,
  lazyFingerprints,
} from "../../../src/gateway/crashes/fingerprint.ts";
import { completeResponse } from "../raw_replica.ts";
import { withRig } from "../rig.ts";

const REQUEST: FingerprintInput = {
  method: "POST",
  host: "example",
  target: "/a/b",
  customer: "one",
  body: Buffer.from("text"),
};

test("requests that differ in any part have different fingerprints", () => {
  const others: Partial<FingerprintInput>[] = [
    { method: "PUT" },
    { host: "example.org" },
    { target: "/a/c" },
    { customer: "two" },
    { customer: undefined },
    { body: Buffer.from("texts") },
    { target: "/a/bt", body: Buffer.from("ext") },
  ];
  const prints = others.map((other) => fingerprintOf({ ...REQUEST, ...other }));
  const all = new Set([fingerprintOf(REQUEST), ...prints]);
  assert.equal(all.size, others.length + 1);
});

test("a part of a prompt has the same fingerprint in all requests of a service", () => {
  const partsOf = (service: string, ...parts: string[]) =>
    lazyFingerprints(REQUEST, { service, parts }).parts();
  const [first, second] = partsOf("a", "p", "q");
  assert.notEqual(first, second);
  assert.deepEqual(partsOf("a", "q", "p", "q"), [second, first]);
  assert.notEqual(partsOf("b", "p")[0], first);
});

test("the number of fingerprinted parts is bounded", () => {
  const parts = Array.from({ length: 5000 }, (_, at) => `p${at}`);
  const { length } = lazyFingerprints(REQUEST, { service: "a", parts }).parts();
  assert.equal(length, 64);
});

test("retries with truncated responses are logged with the same fingerprint", async () => {
  await withRig({
    route: { kind: "unsafe" },
    replicas: [{
      answer: (request, socket) => {
        socket.end(completeResponse(request, "answer").slice(0, -1));
      },
    }],
  }, async (rig) => {
    await rig.call({ id: "first", method: "POST", body: "text" });
    await rig.call({ id: "second", method: "POST", body: "text" });
    await rig.call({ id: "third", method: "POST", body: "another" });
    const failures = rig.events.filter(({ name }) => name === "failed")
      .map(({ fields }) => fields as Record<string, unknown>);
    const [first, second, third] = failures.map((fields) =>
      fields["fingerprint"]
    );
    assert.equal(failures.length, 3);
    assert.equal(first, second);
    assert.notEqual(first, third);
    assert.equal(failures[0]?.["replica"], "r0");
  });
});
