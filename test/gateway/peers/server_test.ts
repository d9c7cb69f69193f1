/** Records of streams share the peers' server with state requests. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import {
  createPeerServer,
  type PeerServerOptions,
} from "../../../src/gateway/peers/server.ts";
import { knownRed } from "../../known_red.ts";
import { singleHostStreams } from "../streams/single_host_streams.ts";
import { LOOPBACK } from "../../loopback.ts";

const SELF = { id: "h", address: "127.0.0.1:1", hall: "hall" };

/** Runs a check with the server of a host that has no state. */
async function withServer(
  check: (address: { host: string; port: number }) => Promise<void>,
  streams = singleHostStreams(),
): Promise<void> {
  const server = createPeerServer({
    context: {
      streams,
      clock: { now: () => 0 },
      routes: { version: 0, isBehind: false },
      replicas: { revision: -1 },
    },
    self: SELF,
    directory: new HostDirectory(SELF, []),
    configAgeMs: () => Infinity,
  } as unknown as PeerServerOptions);
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK, () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  try {
    await check({ host: LOOPBACK, port });
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

test("a peer's records are kept, and other requests get the state", async () => {
  const streams = singleHostStreams();
  await withServer(async ({ host, port }) => {
    const url = `http://${host}:${port}/streams`;
    const record = { service: "s", id: "a", order: 1, ttlMs: 1000 };
    const body = { type: "keep", origin: "p@1", records: [record] };
    const post = (text: string) => fetch(url, { method: "POST", body: text });
    assert.equal((await post("{")).status, 400);
    assert.equal((await post(JSON.stringify(body))).status, 204);
    assert.equal(streams.size, 1);
    const state = await (await fetch(url)).json() as { hosts?: unknown };
    assert.deepEqual(state.hosts, [SELF]);
  }, streams);
});

// Guards against hosts that a request with an odd target ends.
const TARGETS = "a request with an odd target gets the state";
test(TARGETS, knownRed(TARGETS), async () => {
  await withServer(async (address) => {
    for (const path of ["//", "//a:b", "http://[", "*", "/state?routes=%zz"]) {
      const outgoing = request({ ...address, path, agent: false });
      outgoing.end();
      const [response] = await once(outgoing, "response") as [IncomingMessage];
      assert.equal(response.statusCode, 200, path);
      response.resume();
    }
  });
});
