/**
 * Guards against a busy host that takes its own path to a replica for lost: a
 * call that waits for one of the host's connections to it is not a call that
 * can't connect.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../../src/util/units.ts";
import { knownRed } from "../../known_red.ts";
import { startPeer } from "../paths/test_peer.ts";
import {
  completeResponse,
  type RawRequest,
  startRawReplica,
} from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { startPool } from "./pool_rig.ts";

/** As many as a host has connections for control calls to one replica. */
const CONNECTIONS = 3;
const CONNECT_TIMEOUT_MS = 400;
/** Longer than the part of the timeout for the host's own path. */
const WAIT_MS = 200;
const STEP_MS = 10;
const CALL_TIMEOUT_MS = 5000;

/** A clock that the test advances. */
class SteppedClock {
  readonly #timers = new Set<{ at: Milliseconds; run(): void }>();
  #now = 0;

  readonly now = (): Milliseconds => this.#now;

  readonly after = (delayMs: Milliseconds, run: () => void): () => void => {
    const timer = { at: this.#now + delayMs, run };
    this.#timers.add(timer);
    return () => this.#timers.delete(timer);
  };

  /** Lets time pass; connections open meanwhile. */
  async pass(ms: Milliseconds): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.#now += STEP_MS;
      for (const timer of this.#timers) {
        if (timer.at > this.#now) continue;
        this.#timers.delete(timer);
        timer.run();
      }
      await sleep(STEP_MS);
    }
  }
}

const QUEUED = "calls that wait for a connection don't make their path lost";
test(QUEUED, knownRed(QUEUED), async () => {
  const held: [RawRequest, Socket][] = [];
  const replica = await startRawReplica((request, socket) => {
    held.push([request, socket]);
  });
  const peer = await startPeer(replica.address);
  const clock = new SteppedClock();
  const { pool, paths } = startPool({
    peer: peer.address,
    clock,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  const entry = replicaEntry("a", { address: replica.address });
  try {
    const calls = Array.from(
      { length: CONNECTIONS + 1 },
      (_, at) =>
        pool.sendControlCall(entry, {
          call: { method: "GET", path: `/${at}` },
          timeoutMs: CALL_TIMEOUT_MS,
          check: { type: "none" },
        }),
    );
    await clock.pass(WAIT_MS);
    assert.equal(paths.monitor.isLost(entry.incarnation), false);
    assert.equal(held.length, CONNECTIONS);
    for (let at = 0; at < calls.length; at++) {
      const [request, socket] = held[at] ?? [];
      assert.ok(request && socket);
      socket.write(completeResponse(request, request.path));
      await clock.pass(STEP_MS);
    }
    const answers = await Promise.all(calls);
    assert.deepEqual(answers.map((answer) => answer?.status), [
      200,
      200,
      200,
      200,
    ]);
  } finally {
    pool.close();
    peer.stop();
    replica.stop();
  }
});
