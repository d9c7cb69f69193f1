/** Guards against leaked clients of hosts that are gone, and calls they cut. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerConnections } from "../../../src/gateway/peers/peer_connections.ts";
import type { JsonAnswer } from "../../../src/gateway/upstreams/json_client.ts";

const CALL = { method: "GET", path: "/" } as const;
const ANSWER: JsonAnswer = { status: 200, body: "{}" };

/** Creates connections whose calls end when the test settles them. */
function start() {
  const created: string[] = [];
  const closed: string[] = [];
  const pending: { resolve(): void; reject(): void }[] = [];
  const connections = new PeerConnections((address) => {
    created.push(address);
    return {
      call: () =>
        new Promise<JsonAnswer>((resolve, reject) => {
          pending.push({
            resolve: () => resolve(ANSWER),
            reject: () => reject(new Error("Connection reset")),
          });
        }),
      close: () => void closed.push(address),
    };
  });
  const call = (address: string) => {
    const { signal } = new AbortController();
    return connections.call(address, { ...CALL, signal });
  };
  return { connections, call, created, closed, pending };
}

test("the calls to an address share a client", async () => {
  const { call, created, pending } = start();
  const calls = [call("a"), call("b"), call("a")];
  for (const { resolve } of pending) resolve();
  assert.deepEqual(await Promise.all(calls), [ANSWER, ANSWER, ANSWER]);
  assert.deepEqual(created, ["a", "b"]);
});

test("the clients of hosts that are gone are closed, and only theirs", async () => {
  const { connections, call, created, closed, pending } = start();
  const calls = [call("a"), call("b")];
  for (const { resolve } of pending) resolve();
  await Promise.all(calls);
  connections.retain(["b", "c"]);
  connections.retain(["b", "c"]);
  assert.deepEqual(closed, ["a"]);
  void call("b");
  void call("a");
  assert.deepEqual(created, ["a", "b", "a"]);
});

test("an open call to a host that is gone is not cut", async () => {
  for (const end of ["resolve", "reject"] as const) {
    const { connections, call, closed, pending } = start();
    const first = call("a");
    const second = call("a");
    connections.retain([]);
    pending[0]?.resolve();
    await first;
    assert.deepEqual(closed, []);
    pending[1]?.[end]();
    await Promise.allSettled([second]);
    assert.deepEqual(closed, ["a"]);
  }
});

test("a client whose host comes back during a call is closed after it", async () => {
  const { connections, call, created, closed, pending } = start();
  const first = call("a");
  connections.retain([]);
  const second = call("a");
  for (const { resolve } of pending) resolve();
  await Promise.all([first, second]);
  assert.deepEqual([created, closed], [["a", "a"], ["a"]]);
});

test("closing closes all clients at once", () => {
  const { connections, call, closed } = start();
  void call("a");
  void call("b");
  connections.close();
  connections.close();
  assert.deepEqual(closed, ["a", "b"]);
});
