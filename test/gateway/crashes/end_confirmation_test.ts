/** Guards against ends of streams that a replica which is gone confirms. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  EndConfirmation,
  type EndConfirmationOptions,
} from "../../../src/gateway/crashes/end_confirmation.ts";
import { type Clock, systemClock } from "../../../src/gateway/clock.ts";
import { PeerConnections } from "../../../src/gateway/peers/peer_connections.ts";
import type { PeerProcess } from "../../../src/gateway/peers/peer_process.ts";
import { askProcess } from "../../../src/gateway/peers/process_report.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { startRawReplica } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";

const ENTRY = replicaEntry("a");

const PROCESS_RESPONSE =
  'HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{"run":"1"}';

const NO_LOG = { note: () => undefined };

const notAsked = () => Promise.reject(new Error("unexpected question"));

/** A clock on which time passes with its timers. */
function steppedClock(): Clock {
  let now = 0;
  return {
    now: () => now,
    after: (ms, work) => {
      now += ms;
      setImmediate(work);
      return () => undefined;
    },
  };
}

/** Confirms several ends at once. */
async function confirm(
  options: Omit<
    EndConfirmationOptions,
    "clock" | "events" | "isPeerRunning"
  >,
  { ends = 1, peer, isPeerRunning = notAsked }: {
    readonly ends?: number;
    readonly peer?: PeerProcess;
    readonly isPeerRunning?: EndConfirmationOptions["isPeerRunning"];
  } = {},
): Promise<boolean[]> {
  const timers: (() => void)[] = [];
  const clock = {
    now: () => 0,
    after: (_ms: number, work: () => void) => {
      timers.push(work);
      return () => undefined;
    },
  };
  const confirmation = new EndConfirmation({
    ...options,
    clock,
    events: NO_LOG,
    isPeerRunning,
  });
  const results = Array.from(
    { length: ends },
    () => confirmation.confirm(ENTRY, { peer }),
  );
  for (const work of timers) work();
  return await Promise.all(results);
}

test("only a replica that listens confirms the end of its stream", async () => {
  for (const result of ["listens", "refused", "silent"] as const) {
    const probe = () => Promise.resolve(result);
    const confirmed = await confirm({ probe });
    assert.deepEqual(confirmed, [result === "listens"]);
  }
});

test("a silent replica is probed again for a request that can't be repeated", async () => {
  for (const waits of [true, false]) {
    const results = ["silent", "silent", "listens"] as const;
    let probes = 0;
    const confirmation = new EndConfirmation({
      clock: steppedClock(),
      events: NO_LOG,
      probe: () => Promise.resolve(results[probes++] ?? "listens"),
      isPeerRunning: notAsked,
    });
    assert.equal(await confirmation.confirm(ENTRY, { waits }), waits);
    assert.equal(probes, waits ? 3 : 1);
  }
});

test("a replica that stays silent confirms nothing", async () => {
  const confirmation = new EndConfirmation({
    clock: steppedClock(),
    events: NO_LOG,
    probe: () => Promise.resolve("silent"),
    isPeerRunning: notAsked,
  });
  assert.equal(await confirmation.confirm(ENTRY, { waits: true }), false);
});

test("streams of one replica that end together share a probe", async () => {
  let probes = 0;
  const probe = () => {
    probes += 1;
    return Promise.resolve("listens" as const);
  };
  await confirm({ probe }, { ends: 3 });
  assert.equal(probes, 1);
});

test("a stream that came through a peer has ended only if the peer runs, too", async () => {
  for (const isRunning of [true, false]) {
    const confirmed = await confirm({
      probe: () => Promise.resolve("listens"),
    }, {
      peer: { address: "peer", run: "1" },
      isPeerRunning: () => Promise.resolve(isRunning),
    });
    assert.deepEqual(confirmed, [isRunning]);
  }
});

test("a peer's address that accepts connections without a response confirms nothing", async () => {
  for (const isResponding of [true, false]) {
    const peer = await startRawReplica((_request, socket) => {
      if (isResponding) socket.write(PROCESS_RESPONSE);
      else socket.resetAndDestroy();
    });
    const clock = systemClock;
    const connections = new PeerConnections((address) =>
      createJsonClient(address, clock)
    );
    const confirmation = new EndConfirmation({
      clock,
      events: NO_LOG,
      probe: () => Promise.resolve("listens"),
      isPeerRunning: async (process) =>
        await askProcess(process, { clock, connections }) !== undefined,
    });
    const isConfirmed = await confirmation.confirm(ENTRY, {
      peer: { address: peer.address, run: "1" },
    });
    connections.close();
    peer.stop();
    assert.equal(isConfirmed, isResponding);
  }
});
