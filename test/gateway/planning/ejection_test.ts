/**
 * Ejection of replicas that do far worse than their pool. Guards against
 * replicas that stay in use while they fail, and against the ejection of a pool
 * because of a link, or of too many replicas at once.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../../src/util/random.ts";
import "../../fixed_seed.ts";
import { Standing } from "../../../src/gateway/planning/ejection.ts";
import { ratedCandidates } from "../../../src/gateway/planning/rated_candidates.ts";
import {
  EVENTS,
  grant,
  play,
  playAll,
  type RatesRig,
  ratesRig,
  report,
  type Run,
} from "./rates_rig.ts";

const USUAL_MS = 2000;

const REQUEST = {
  host: "other",
  hall: "hall0",
  repeatable: true,
  begun: false,
};

/** Number of runs that a replica was given while `playAll` drove the pool. */
function countRuns(
  rig: RatesRig,
  times: { readonly from: number; readonly until: number },
  index: number,
  runOf: (index: number, now: number) => Partial<Run>,
): number {
  let count = 0;
  for (let now = times.from; now < times.until; now += 300) {
    rig.pool.forEach((replica, at) => {
      const host = `host${(at + now / 300) % 5}`;
      const run = { replica, now, host, runMs: USUAL_MS, ...runOf(at, now) };
      if (play(rig, run) && at === index) count += 1;
    });
  }
  return count;
}

test("a replica that is five times slower for six seconds is ejected and returns", () => {
  const rig = ratesRig(6);
  const isSlow = (index: number, now: number) =>
    index === 2 && now >= 6000 && now < 12_000;
  const runOf = (index: number, now: number) => ({
    runMs: isSlow(index, now) ? 5 * USUAL_MS : USUAL_MS,
  });
  playAll(rig, { from: 0, until: 6000 }, runOf);
  const slowRuns = countRuns(rig, { from: 6000, until: 12_000 }, 2, runOf);
  assert.ok(slowRuns <= 10, `${slowRuns} of 20 runs were slow`);
  assert.deepEqual(rig.ejected(12_000), ["r2"]);
  playAll(rig, { from: 12_000, until: 24_000 }, runOf);
  assert.deepEqual(rig.ejected(24_000), []);
  assert.deepEqual(rig.events, [
    { name: "replicaEjected", replica: "r2" },
    { name: "replicaReturned", replica: "r2" },
  ]);
});

test("a replica that fails half of its requests is ejected after a few", () => {
  const rig = ratesRig(6);
  const runOf = (index: number, now: number) =>
    index === 1 && now % 600 === 0 ? { runMs: undefined } : {};
  const runs = countRuns(rig, { from: 0, until: 6000 }, 1, runOf);
  assert.deepEqual(rig.ejected(6000), ["r1"]);
  assert.ok(runs <= 10, `${runs} of 20 runs were assigned to it`);
});

test("if all replicas fail alike, none is ejected", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 9000 }, (_, now) => ({
    runMs: now % 600 === 0 ? undefined : USUAL_MS,
  }));
  assert.deepEqual(rig.ejected(9000), []);
});

test("failures by chance that all replicas have seldom eject one", () => {
  let ejections = 0;
  for (let seed = 1; seed <= 100; seed++) {
    const random = xoroshiro128plus(seed);
    const rig = ratesRig(3);
    playAll(rig, { from: 0, until: 30_000 }, () => ({
      runMs: randomInt(random, 100) < 5 ? undefined : USUAL_MS,
    }));
    const isEjection = ({ name }: { name: string }) =>
      name === "replicaEjected";
    ejections += rig.events.filter(isEjection).length;
  }
  assert.ok(ejections <= 10, `${ejections} in 100 pools over 30 s`);
});

test("a replica that fails for one hall is avoided by that hall alone", () => {
  const rig = ratesRig(6);
  const runOf = (index: number, now: number) => {
    const hall = `hall${(now / 300) % 3}`;
    const failed = index === 0 && hall === "hall1";
    return { hall, runMs: failed ? undefined : USUAL_MS };
  };
  playAll(rig, { from: 0, until: 6000 }, runOf);
  assert.deepEqual(rig.ejected(6000), []);
  const [replica] = rig.pool;
  assert.ok(replica);
  const standing = (hall: string) =>
    rig.rates.standing(
      replica,
      { ...REQUEST, hall },
      6000,
    );
  assert.equal(standing("hall1"), Standing.closed);
  assert.equal(standing("hall0"), Standing.open);
});

test("failures of one host alone eject nothing", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 6000 }, (index, now) => {
    const host = `host${(now / 300) % 5}`;
    const failed = index === 0 && host === "host2";
    return { host, runMs: failed ? undefined : USUAL_MS };
  });
  assert.deepEqual(rig.ejected(6000), []);
});

for (const [size, most] of [[1, 0], [2, 1], [3, 1], [8, 2], [24, 8]] as const) {
  test(`of a pool of ${size} at most ${most} are ejected`, () => {
    const rig = ratesRig(size);
    playAll(rig, { from: 0, until: 6000 }, () => ({}));
    // Each replica fails in turn, while the others are good.
    rig.pool.forEach((_, failing) => {
      const from = 6000 + failing * 900;
      playAll(rig, { from, until: from + 1500 }, (index, now) => ({
        host: `host${now / 300}`,
        runMs: index <= failing ? undefined : USUAL_MS,
      }));
      assert.ok(rig.ejected(from + 1500).length <= most);
    });
    const peak = rig.events.filter(({ name }) => name === "replicaEjected");
    assert.ok(peak.length >= most);
  });
}

test("whatever the replicas do, most of a pool is never ejected", () => {
  const behaviours = fc.array(
    fc.constantFrom("usual", "fast", "slow", "failing", "half failing"),
    { minLength: 1, maxLength: 12 },
  );
  fc.assert(fc.property(behaviours, fc.nat(5), (kinds, turn) => {
    const rig = ratesRig(kinds.length);
    playAll(rig, { from: 0, until: 6000 }, (index, now) => {
      // The behaviours move on to other replicas every two seconds.
      const shift = turn * Math.floor(now / 2000);
      const kind = kinds[(index + shift) % kinds.length];
      const isFailed = kind === "failing" ||
        (kind === "half failing" && now % 600 === 0);
      const runMs = kind === "slow" ? 9000 : kind === "fast" ? 900 : USUAL_MS;
      return { runMs: isFailed ? undefined : runMs };
    });
    const ejected = rig.ejected(6000).length;
    const most = Math.max(1, Math.floor(kinds.length / 3));
    assert.ok(ejected <= most && ejected < kinds.length);
    const open = rig.pool.some((replica) =>
      rig.rates.standing(replica, REQUEST, 20_000) === Standing.open
    );
    assert.ok(open);
  }));
});

test("a request that has begun is no trial", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 1500 }, (index, now) => ({
    host: `host${now / 300}`,
    runMs: index === 0 ? undefined : USUAL_MS,
  }));
  const [replica] = rig.pool;
  assert.ok(replica);
  const standing = (begun: boolean) =>
    rig.rates.standing(replica, { ...REQUEST, begun }, 9000);
  assert.equal(standing(true), Standing.spare);
  assert.equal(standing(false), Standing.trial);
});

test("a replica that stops answering is ejected while others answer", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 3000 }, () => ({}));
  const [dark] = rig.pool;
  assert.ok(dark);
  for (const host of ["host0", "host1", "host2", "host3"]) {
    grant(rig, { replica: dark, now: 3000, host });
  }
  playAll(rig, { from: 3000, until: 6000 }, (index) => ({
    replica: rig.pool[Math.max(1, index)] ?? dark,
  }));
  assert.deepEqual(rig.ejected(6000), ["r0"]);
});

test("runs that their callers hold up don't count as overdue", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 3000 }, () => ({}));
  const [replica] = rig.pool;
  assert.ok(replica);
  for (const host of ["host0", "host1", "host2", "host3"]) {
    const entry = grant(rig, { replica, now: 3000, host });
    rig.rates.noteProgress(entry, report(entry, "running"), 3000);
  }
  playAll(rig, { from: 3000, until: 9000 }, (index) => ({
    replica: rig.pool[Math.max(1, index)] ?? replica,
  }));
  assert.deepEqual(rig.ejected(9000), []);
});

test("runs of a host whose assignments have expired eject nothing", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 3000 }, () => ({}));
  const [replica] = rig.pool;
  assert.ok(replica);
  for (let count = 0; count < 4; count++) {
    grant(rig, { replica, now: 3000, host: `host${count}` });
  }
  rig.ledger.expire(30_000);
  playAll(rig, { from: 30_000, until: 33_000 }, () => ({}));
  assert.deepEqual(rig.ejected(33_000), []);
});

test("an ejected replica gets one trial at a time, first a repeatable one", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 3000 }, (index, now) => ({
    host: `host${now / 300}`,
    runMs: index === 0 ? undefined : USUAL_MS,
  }));
  const [replica] = rig.pool;
  assert.ok(replica);
  const standing = (repeatable: boolean, now: number) =>
    rig.rates.standing(
      replica,
      { ...REQUEST, repeatable },
      now,
    );
  assert.equal(rig.rates.isEjected("r0", 3000), true);
  // Pauses double with each failed trial, up to some seconds.
  const now = 13_000;
  assert.equal(standing(true, now), Standing.trial);
  for (let trial = 0; trial < 5; trial++) {
    const at = now + trial * 100;
    assert.equal(rig.rates.isEjected("r0", at), true);
    assert.equal(standing(true, at), Standing.trial);
    const entry = grant(rig, { replica, now: at });
    assert.equal(standing(true, at), Standing.spare);
    const end = { events: EVENTS, runMs: 3 * USUAL_MS };
    rig.rates.noteEnd(entry, report(entry, "answered", end), at + 50);
  }
  assert.equal(rig.rates.isEjected("r0", now + 500), false);
  assert.equal(standing(false, now + 500), Standing.open);
});

test("a trial whose result is lost counts as failed after a while", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 1500 }, (index, now) => ({
    host: `host${now / 300}`,
    runMs: index === 0 ? undefined : USUAL_MS,
  }));
  const [replica] = rig.pool;
  assert.ok(replica);
  grant(rig, { replica, now: 9000 });
  const standing = (now: number) => rig.rates.standing(replica, REQUEST, now);
  assert.equal(standing(12_000), Standing.spare);
  assert.equal(standing(13_500), Standing.spare);
  assert.equal(standing(25_000), Standing.trial);
});

for (
  const [reason, runMs] of [["slow", 5 * USUAL_MS], ["failing", undefined]]
) {
  test(`a replica that is ejected as ${reason} serves what no other replica has room for`, () => {
    const rig = ratesRig(6);
    playAll(rig, { from: 0, until: 9000 }, (index, now) => ({
      runMs: index === 2 && now >= 6000
        ? runMs as number | undefined
        : USUAL_MS,
    }));
    assert.deepEqual(rig.ejected(9000), ["r2"]);
    const usable = (hasRoom: (incarnation: string) => boolean) =>
      ratedCandidates(rig.rates, rig.pool, {
        request: REQUEST,
        hasRoom: ({ incarnation }) => hasRoom(incarnation),
      }, 9000).map(({ incarnation }) => incarnation);
    assert.ok(!usable(() => true).includes("r2"));
    assert.ok(usable((incarnation) => incarnation === "r2").includes("r2"));
  });
}
