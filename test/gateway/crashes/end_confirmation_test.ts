/** Guards against ends of streams that a replica which is gone confirms. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type ConfirmOptions,
  EndConfirmation,
  type EndConfirmationOptions,
} from "../../../src/gateway/crashes/end_confirmation.ts";
import { type Clock, systemClock } from "../../../src/gateway/clock.ts";
import { PeerConnections } from "../../../src/gateway/peers/peer_connections.ts";
import { askProcess } from "../../../src/gateway/peers/process_report.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import type { ReplicaEntry } from "../../../src/gateway/replicas/model.ts";
import { startRawReplica } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";

const ENTRY = replicaEntry("a");
const PEER = { address: "peer", run: "1" };

const PROCESS_RESPONSE =
  'HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{"run":"1"}';

const NO_LOG = { note: () => undefined };

const notAsked = () => Promise.reject(new Error("unexpected question"));

/** Each replica listens and reports no start; nothing else is asked. */
const ALL_LISTEN: Omit<EndConfirmationOptions, "clock" | "events"> = {
  probe: () => Promise.resolve("listens"),
  findStart: () => Promise.resolve("notReported"),
  readId: notAsked,
  stalls: { hasStalledSince: () => false },
  askPeer: notAsked,
};

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
  options: Partial<Omit<EndConfirmationOptions, "clock" | "events">>,
  { ends = 1, entry = ENTRY, ...end }:
    & { readonly ends?: number; readonly entry?: ReplicaEntry }
    & ConfirmOptions = {},
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
    ...ALL_LISTEN,
    ...options,
    clock,
    events: NO_LOG,
  });
  const results = Array.from(
    { length: ends },
    () => confirmation.confirm(entry, end),
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
      ...ALL_LISTEN,
      clock: steppedClock(),
      events: NO_LOG,
      probe: () => Promise.resolve(results[probes++] ?? "listens"),
    });
    assert.equal(await confirmation.confirm(ENTRY, { waits }), waits);
    assert.equal(probes, waits ? 3 : 1);
  }
});

test("a replica that stays silent confirms nothing", async () => {
  const confirmation = new EndConfirmation({
    ...ALL_LISTEN,
    clock: steppedClock(),
    events: NO_LOG,
    probe: () => Promise.resolve("silent"),
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
      askPeer: () => Promise.resolve(isRunning ? { run: "1" } : undefined),
    }, { peer: PEER });
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
      ...ALL_LISTEN,
      clock,
      events: NO_LOG,
      askPeer: (process) => askProcess(process, { clock, connections }),
    });
    const isConfirmed = await confirmation.confirm(ENTRY, {
      peer: { address: peer.address, run: "1" },
    });
    connections.close();
    peer.stop();
    assert.equal(isConfirmed, isResponding);
  }
});

test("a replica that has started again confirms nothing, though it listens", async () => {
  const entry = replicaEntry("a", { stage: "decode", born: 1 });
  for (const start of ["asListed", "other"] as const) {
    const findStart = () => Promise.resolve(start);
    const confirmed = await confirm({ findStart }, { entry });
    assert.deepEqual(confirmed, [start === "asListed"]);
  }
});

test("a replica that listens and doesn't report its start confirms nothing", async () => {
  const findStart = () => Promise.resolve("silent" as const);
  assert.deepEqual(await confirm({ findStart }), [false]);
});

/** What may have kept the host from reading the end when it came. */
const LATE: Readonly<
  Record<string, readonly [Partial<EndConfirmationOptions>, ConfirmOptions]>
> = {
  "a stall of the host": [{ stalls: { hasStalledSince: () => true } }, {}],
  "a stall of the peer": [{
    askPeer: () => Promise.resolve({ run: "1", stalledAgoMs: 10 }),
  }, { peer: PEER, receivedAt: -20 }],
};

test("an end that is read late is confirmed by a replica whose id is its own only", async () => {
  for (const [name, [options, end]] of Object.entries(LATE)) {
    for (const id of ["a", "b", undefined]) {
      const readId = () => Promise.resolve(id);
      const confirmed = await confirm({ ...options, readId }, end);
      assert.deepEqual(confirmed, [id === "a"], `${name}, ${id}`);
    }
    const entry = replicaEntry("a", { born: 1 });
    const readId = () => Promise.resolve("a");
    const confirmed = await confirm({ ...options, readId }, { ...end, entry });
    assert.deepEqual(confirmed, [false], `${name}, started under its id`);
  }
});

test("a peer that stood still before the response doesn't delay its end", async () => {
  const askPeer = () => Promise.resolve({ run: "1", stalledAgoMs: 30 });
  const confirmed = await confirm({ askPeer }, { peer: PEER, receivedAt: -20 });
  assert.deepEqual(confirmed, [true]);
});

test("a replica that listens only after a silence has to name itself", async () => {
  for (const id of ["a", undefined]) {
    let probes = 0;
    const confirmation = new EndConfirmation({
      ...ALL_LISTEN,
      clock: steppedClock(),
      events: NO_LOG,
      probe: () => Promise.resolve(probes++ < 20 ? "silent" : "listens"),
      readId: () => Promise.resolve(id),
    });
    const confirmed = await confirmation.confirm(ENTRY, { waits: true });
    assert.equal(confirmed, id === "a");
  }
});
