/** How a lost path is told from a replica that is down, slow or silent. */
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { PathMonitor } from "../../../src/gateway/paths/path_monitor.ts";
import type { TunnelDialer } from "../../../src/gateway/paths/tunnel_dialer.ts";
import type { TunnelOutcome } from "../../../src/gateway/paths/tunnel_client.ts";
import type { Connect } from "../../../src/gateway/upstreams/connect.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { replicaEntry } from "../replica_entry.ts";

const ENTRY = replicaEntry("a");
const OTHER = replicaEntry("b", { address: "127.0.0.1:2" });
const SILENCE_MS = 200;

/** What a connection attempt meets. */
type Reach = "connects" | "refused" | "silent";

/** Connections with the given result; a silent one stays in progress. */
function connectWith(reachOf: (port: number) => Reach): Connect {
  return ({ port }) => {
    const socket = new Socket();
    const reach = reachOf(port);
    if (reach === "connects") setImmediate(() => socket.emit("connect"));
    if (reach === "refused") {
      const error = Object.assign(new Error("x"), { code: "ECONNREFUSED" });
      setImmediate(() => socket.destroy(error));
    }
    return socket;
  };
}

/** Creates a monitor in virtual time, with one peer. */
function start(
  own: (port: number) => Reach,
  peer: () => TunnelOutcome["type"],
) {
  const time = new VirtualTime();
  const events: string[] = [];
  const asked = { count: 0 };
  const removed = new Set<string>();
  const dialer = {
    hasPeers: true,
    peerOf: () => "peer",
    open: () => {
      asked.count += 1;
      const type = peer();
      return Promise.resolve(
        type === "open" ? { type, socket: new Socket() } : { type },
      );
    },
  } as unknown as TunnelDialer;
  const monitor = new PathMonitor({
    clock: time.clock,
    events: { note: (name) => void events.push(name) },
    connect: connectWith(own),
    dialer,
    replicas: () => [ENTRY, OTHER],
    isListed: (incarnation) => !removed.has(incarnation),
    connectTimeoutMs: 100,
    tunnelTimeoutMs: 300,
  });
  /** Runs to a time; connections are made between steps of it. */
  const runTo = async (endMs: number) => {
    for (let now = time.now; now <= endMs; now += 10) {
      await time.runTo(now);
      await new Promise((resolve) => setImmediate(resolve));
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  const remove = (incarnation: string) => {
    removed.add(incarnation);
    monitor.removeReplica(incarnation);
  };
  return { time, events, asked, monitor, remove, runTo };
}

test("a silent path is lost if only a peer connects to the replica", async () => {
  const { monitor, runTo, events } = start(() => "silent", () => "open");
  monitor.watch(ENTRY, { sentAt: 0, silenceMs: SILENCE_MS });
  await runTo(SILENCE_MS - 10);
  assert.equal(monitor.isLost("a"), false);
  await runTo(500);
  assert.equal(monitor.isLost("a"), true);
  assert.deepEqual(events, ["pathLost"]);
});

test("a sound replica that does not answer for a second keeps its path", async () => {
  const { monitor, runTo, asked } = start(() => "connects", () => "open");
  monitor.watch(ENTRY, { sentAt: 0, silenceMs: SILENCE_MS });
  await runTo(1500);
  assert.equal(monitor.isLost("a"), false);
  assert.equal(asked.count, 0);
});

test("a replica that no host reaches is not taken for a lost path", async () => {
  const { monitor, runTo, events } = start(() => "silent", () => "unreachable");
  monitor.watch(ENTRY, { sentAt: 0, silenceMs: SILENCE_MS });
  await runTo(500);
  assert.equal(monitor.isLost("a"), false);
  assert.equal(monitor.isUnreachable("a"), true);
  assert.deepEqual(events, ["replicaUnreachable"]);
});

test("a path is used again once a connection over it succeeds", async () => {
  let reach: Reach = "silent";
  const { monitor, runTo, events } = start(() => reach, () => "open");
  monitor.noteLost(ENTRY, "notConnected");
  monitor.retry("a");
  await runTo(200);
  assert.equal(monitor.isLost("a"), true);
  reach = "connects";
  await runTo(300);
  monitor.retry("a");
  await runTo(500);
  assert.equal(monitor.isLost("a"), false);
  assert.deepEqual(events, ["pathLost", "pathHealed"]);
});

test("once a peer reaches one replica, other unreachable ones are tried too", async () => {
  let outcome: TunnelOutcome["type"] = "unreachable";
  const { monitor, runTo } = start(() => "silent", () => outcome);
  for (const entry of [ENTRY, OTHER]) void monitor.check(entry, "checked");
  await runTo(200);
  assert.equal(monitor.isUnreachable("a"), true);
  assert.equal(monitor.isUnreachable("b"), true);
  outcome = "open";
  await runTo(1000);
  // No request needs the other replica meanwhile.
  monitor.retry("a");
  await runTo(1500);
  assert.equal(monitor.isLost("a"), true);
  assert.equal(monitor.isLost("b"), true);
});

test("once a path has healed, other unreachable replicas are tried too", async () => {
  let reach: Reach = "silent";
  const { monitor, runTo } = start(() => reach, () => "unreachable");
  for (const entry of [ENTRY, OTHER]) void monitor.check(entry, "checked");
  await runTo(200);
  assert.equal(monitor.isUnreachable("b"), true);
  reach = "connects";
  await runTo(1000);
  monitor.retry("a");
  await runTo(1500);
  assert.equal(monitor.isUnreachable("a"), false);
  assert.equal(monitor.isUnreachable("b"), false);
});

test("the path to a replica that was removed during its check is not recorded", async () => {
  for (const verdict of ["open", "unreachable"] as const) {
    const { monitor, remove, runTo, events } = start(
      () => "silent",
      () => verdict,
    );
    monitor.watch(ENTRY, { sentAt: 0, silenceMs: SILENCE_MS });
    await runTo(SILENCE_MS + 10);
    remove("a");
    await runTo(3000);
    assert.equal(monitor.hasFailed, false, verdict);
    assert.deepEqual(monitor.lost, []);
    assert.deepEqual(events, []);
  }
});

test("peers are asked about few replicas of a hall that is cut off", async () => {
  const { monitor, asked, runTo } = start(() => "silent", () => "unreachable");
  const entries = Array.from({ length: 40 }, (_, at) => replicaEntry(`r${at}`));
  for (const entry of entries) void monitor.check(entry, "checked");
  await runTo(200);
  const found = entries.filter(({ id }) => monitor.isUnreachable(id));
  assert.equal(found.length, entries.length);
  assert.ok(asked.count <= 8, `${asked.count} replicas`);
});

test("a refused connection says nothing if all replicas refuse this host", async () => {
  for (
    const [other, isConfirmed] of [["connects", true], [
      "refused",
      false,
    ]] as const
  ) {
    const { monitor } = start(
      (port) => port === 1 ? "refused" : other,
      () => "open",
    );
    assert.equal(await monitor.confirmRefusal(ENTRY), isConfirmed, other);
  }
});

test("a crash probe takes the word of a peer that connects", async () => {
  const { monitor } = start(() => "refused", () => "open");
  assert.equal(await monitor.probe(ENTRY), "listens");
  assert.equal(monitor.isLost("a"), true);
});
