/** Which broken sends a detected crash explains. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { BrokenSends } from "../../../src/gateway/crashes/broken_sends.ts";
import { namedFingerprints } from "./named_fingerprints.ts";

/** Records sends of replica "a" by the time at which they broke. */
function sendsAt(times: readonly number[], endedByReplica = true): BrokenSends {
  const sends = new BrokenSends();
  for (const now of times) {
    const fingerprints = namedFingerprints(`at ${now}`);
    assert.ok(sends.add("a", {
      fingerprints,
      sentAt: 0,
      endedByReplica,
      replicas: 2,
      now,
    }));
  }
  return sends;
}

function fingerprintsOf(
  sends: BrokenSends,
  ...[sign, now]: [sign: "refused" | "gone" | "told", now: number]
): string[] {
  return sends.takeCrashed("a", { sign, now })
    .map(({ fingerprint }) => fingerprint);
}

test("a crash explains the sends that broke within its window", () => {
  const times = [0, 1, 5000, 5001];
  for (const sign of ["refused", "told"] as const) {
    assert.deepEqual(fingerprintsOf(sendsAt(times), sign, 6000), [
      "at 5000",
      "at 5001",
    ]);
  }
  const gone = fingerprintsOf(sendsAt(times), "gone", 6001);
  assert.deepEqual(gone, ["at 1", "at 5000", "at 5001"]);
});

test("a refusal doesn't explain sends that this host ended", () => {
  assert.deepEqual(fingerprintsOf(sendsAt([0], false), "refused", 1), []);
  assert.deepEqual(fingerprintsOf(sendsAt([0], false), "gone", 1), ["at 0"]);
});

test("a replica that listens explains the sends before its probe", () => {
  const sends = sendsAt([0, 10]);
  assert.equal(sends.noteListening("a", 5), true);
  assert.deepEqual(fingerprintsOf(sends, "refused", 20), ["at 10"]);
  assert.equal(sendsAt([0, 10]).noteListening("a", 10), false);
});

test("each send counts for one crash", () => {
  const sends = sendsAt([0]);
  assert.deepEqual(fingerprintsOf(sends, "refused", 1), ["at 0"]);
  assert.deepEqual(fingerprintsOf(sends, "refused", 2), []);
  assert.equal(sends.hasJustCrashed("a", 1002), true);
  assert.equal(sends.hasJustCrashed("a", 1003), false);
});

test("a replica that was removed has no broken sends", () => {
  const sends = sendsAt([0]);
  assert.deepEqual(sends.replicasOf("at 0"), ["a"]);
  assert.equal(sends.mayHaveCrashed("a", 6000), true);
  assert.equal(sends.mayHaveCrashed("a", 6001), false);
  sends.removeReplica("a");
  assert.deepEqual(sends.replicasOf("at 0"), []);
  assert.equal(sends.mayHaveCrashed("a", 1), false);
  assert.equal(sends.noteListening("a", 0), false);
});

test("a request is not hashed for a send that there is no room for", () => {
  const sends = sendsAt(Array.from({ length: 100 }, () => 0));
  const fail = () => assert.fail("hashed");
  const fingerprints = {
    request: fail,
    isCostly: false,
    service: fail,
    parts: fail,
  };
  const send = {
    fingerprints,
    sentAt: 0,
    endedByReplica: true,
    replicas: 2,
    now: 0,
  };
  assert.equal(sends.add("a", send), false);
});
