/**
 * Guards against streams that go on at a replica of another software version
 * than the one that began them, within one answer or over the attempts of their
 * callers.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand";
import { knownRed } from "../known_red.ts";
import { CallKind, type CallResult } from "./call.ts";
import { runCaller } from "./callers.ts";
import type { FleetHost } from "./fleet.ts";
import { sleep } from "./sleep.ts";
import {
  findLostStreams,
  findMixedStreams,
  MIN_RESUMPTIONS,
} from "./resumptions.ts";
import {
  runCallers,
  type TestFleet,
  waitUntilServing,
  withFleet,
} from "./test_fleet.ts";
import { isOwnAndComplete } from "./whole_responses.ts";
import { FIRST_SOFTWARE_VERSION } from "./world.ts";

const NEXT_SOFTWARE_VERSION = "next";
const KINDS = [CallKind.resumable];
const WARM_UP_MS = 1500;
const CRASHES = 10;
/** Long enough for the retry budget to allow the retries of all streams. */
const CRASH_INTERVAL_MS = 1500;
/** The time of a new version until the first host is killed. */
const RELEASE_MS = 300;
const DOWNTIME_MS = 1000;
/** The time after which a host that was started again is in touch. */
const REJOIN_MS = 3000;
const CALLERS_PER_HOST = 8;
/** The time over which callers begin, about that of one stream. */
const CALLERS_START_MS = 1000;
/** Rounds of kills that may be added to get {@link MIN_RESUMPTIONS}. */
const MAX_ADDED_ROUNDS = 2;

/** Starts an engine of the next version with as many replicas. */
async function addNextVersion({ world }: TestFleet): Promise<void> {
  const softwareVersion = NEXT_SOFTWARE_VERSION;
  await world.addEngine(softwareVersion);
  await world.addReplica("decode", "north", { softwareVersion });
}

type Crash = { readonly replica: string; readonly atMs: number };

/** Crashes decode replicas of both versions in turn. */
async function crashDecodeReplicas({ world }: TestFleet): Promise<Crash[]> {
  const crashes: Crash[] = [];
  for (let count = 0; count < CRASHES; count++) {
    await sleep(CRASH_INTERVAL_MS);
    const version = count % 2 === 0
      ? FIRST_SOFTWARE_VERSION
      : NEXT_SOFTWARE_VERSION;
    const replica = world.readyReplicas().find((candidate) =>
      candidate.standin.role === "decode" &&
      candidate.softwareVersion === version
    );
    assert.ok(replica);
    crashes.push({ replica: replica.standin.id, atMs: performance.now() });
    await world.crash(replica);
  }
  return crashes;
}

/** Results of requests that ran at a replica when it crashed. */
function findInterrupted(
  { world }: TestFleet,
  results: readonly CallResult[],
  crashes: readonly Crash[],
): CallResult[] {
  const endedAt = new Map(results.map(({ id, endedAtMs }) => [id, endedAtMs]));
  const interrupted = new Set(
    world.arrivals.filter(({ request, replica, ran, atMs }) => {
      const crash = crashes.find((one) => one.replica === replica);
      return ran && crash !== undefined && atMs < crash.atMs &&
        crash.atMs < (endedAt.get(request) ?? 0);
    }).map(({ request }) => request),
  );
  return results.filter(({ id }) => interrupted.has(id));
}

function assertNotMixed(results: readonly CallResult[], of: number): void {
  const mixed = findMixedStreams(results);
  const [first] = mixed;
  const message = `${mixed.length} of ${of} streams went on at two versions`;
  assert.equal(mixed.length, 0, `${message}, the first one ${first}`);
}

const CRASHED =
  "streams whose replicas crash go on at the software version that began them";
test(CRASHED, knownRed(CRASHED), async () => {
  await withFleet(async (fleet) => {
    await addNextVersion(fleet);
    await runCallers(fleet, { kinds: KINDS, forMs: WARM_UP_MS });
    const [results, crashes] = await Promise.all([
      runCallers(fleet, {
        kinds: KINDS,
        forMs: (CRASHES + 1) * CRASH_INTERVAL_MS,
      }),
      crashDecodeReplicas(fleet),
    ]);
    const interrupted = findInterrupted(fleet, results, crashes);
    assert.ok(interrupted.length >= MIN_RESUMPTIONS, `${interrupted.length}`);
    assertNotMixed(results, interrupted.length);
    const wrong = results.filter((result) =>
      result.isComplete && result.status === 200 && !isOwnAndComplete(result)
    );
    assert.deepEqual(wrong.map(({ id, body }) => `${id}: ${body}`), []);
    // Replicas of both versions serve all the time.
    const wentOn = interrupted.filter((result) =>
      result.isComplete && result.status === 200
    );
    const share = wentOn.length / interrupted.length;
    assert.ok(share >= 0.5, `${wentOn.length} of ${interrupted.length}`);
  });
});

type Kill = { readonly host: string; readonly atMs: number };

/**
 * Kills hosts round by round, while callers resume their streams. Callers begin
 * one after the other: in step, all of their streams could be between two events
 * or before the first one when the hosts are killed.
 */
class KillRun {
  readonly results: CallResult[] = [];
  readonly kills: Kill[] = [];
  readonly #fleet: TestFleet;
  readonly #unavailable = new Set<string>();
  #isStopped = false;

  constructor(fleet: TestFleet) {
    this.#fleet = fleet;
  }

  async play(rounds: readonly (readonly FleetHost[])[]): Promise<void> {
    const callers = this.#startCallers();
    await sleep(WARM_UP_MS);
    // The streams that run were begun while there was one version.
    await addNextVersion(this.#fleet);
    await sleep(RELEASE_MS);
    for (const hosts of rounds) await this.#playRound(hosts);
    for (const hosts of rounds.slice(0, MAX_ADDED_ROUNDS)) {
      if (this.#hasEnoughResumptions()) break;
      await this.#playRound(hosts);
    }
    this.#isStopped = true;
    await Promise.all(callers);
  }

  #startCallers(): Promise<void>[] {
    const hosts = this.#fleet.hosts.map(({ process, callers: address }) => ({
      name: process.name,
      address,
    }));
    const count = hosts.length * CALLERS_PER_HOST;
    return Array.from({ length: count }, async (_, at) => {
      await sleep(at * CALLERS_START_MS / count);
      await runCaller({
        hosts,
        random: xoroshiro128plus(at),
        name: `caller-${at}`,
        kinds: KINDS,
        isResuming: true,
        isInRotation: (name) => !this.#unavailable.has(name),
        isStopped: () => this.#isStopped,
        onResult: (result) => this.results.push(result),
      });
    });
  }

  async #playRound(hosts: readonly FleetHost[]): Promise<void> {
    await Promise.all(hosts.map((host) => this.#killAndRestart(host)));
    await sleep(REJOIN_MS);
  }

  #hasEnoughResumptions(): boolean {
    const resumed = this.attemptsAtSoundHosts().filter((attempt) =>
      attempt.resumption
    );
    return resumed.length >= MIN_RESUMPTIONS;
  }

  async #killAndRestart(host: FleetHost): Promise<void> {
    const { process } = host;
    this.#unavailable.add(process.name);
    this.kills.push({ host: process.name, atMs: performance.now() });
    await process.kill();
    await sleep(DOWNTIME_MS);
    process.start();
    await waitUntilServing(host, this.#fleet.world.version);
    this.#unavailable.delete(process.name);
  }

  /** Attempts since the first kill at hosts that were not killed meanwhile. */
  attemptsAtSoundHosts(): CallResult[] {
    const firstMs = this.kills[0]?.atMs ?? 0;
    return this.results.filter((result) =>
      (result.resumption || !result.isAborted) && result.sentAtMs >= firstMs &&
      !this.kills.some(({ host, atMs }) =>
        host === result.host && atMs <= result.endedAtMs &&
        atMs > result.sentAtMs - REJOIN_MS
      )
    );
  }
}

async function assertResumedAtOneVersion(
  fleet: TestFleet,
  rounds: readonly (readonly FleetHost[])[],
): Promise<void> {
  const run = new KillRun(fleet);
  await run.play(rounds);
  const attempts = run.attemptsAtSoundHosts();
  const resumed = attempts.filter(({ resumption }) => resumption);
  const begun = attempts.filter(({ resumption }) => !resumption);
  assert.ok(resumed.length >= MIN_RESUMPTIONS, `${resumed.length}`);
  assert.deepEqual(findLostStreams(resumed, begun), []);
  assertNotMixed(run.results, resumed.length);
}

const ONE_KILLED =
  "streams whose host is killed go on at the software version that began them";
test(ONE_KILLED, knownRed(ONE_KILLED), async () => {
  await withFleet(async (fleet) => {
    const rounds = fleet.hosts.slice(0, 3).map((host) => [host]);
    await assertResumedAtOneVersion(fleet, rounds);
  });
});

const THIRD_KILLED =
  "streams go on at their software version after a third of the hosts is killed";
test(THIRD_KILLED, knownRed(THIRD_KILLED), async () => {
  await withFleet(async (fleet) => {
    const { hosts } = fleet;
    const rounds = [0, 1].map((round) =>
      hosts.filter((_, at) => at % 3 === round)
    );
    await assertResumedAtOneVersion(fleet, rounds);
  }, { hosts: 6 });
});
