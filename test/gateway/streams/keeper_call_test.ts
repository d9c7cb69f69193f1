/** Records and questions pass between two hosts over HTTP. */
import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { KeeperClient } from "../../../src/gateway/streams/keeper_client.ts";
import { KEEPER_PATH } from "../../../src/gateway/streams/keeper_messages.ts";
import { KeeperServer } from "../../../src/gateway/streams/keeper_server.ts";
import type { StreamRecord } from "../../../src/gateway/streams/model.ts";
import { VersionHistory } from "../../../src/gateway/streams/version_history.ts";
import { VersionTable } from "../../../src/gateway/streams/version_table.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { LOOPBACK } from "../../loopback.ts";

const RECORD: StreamRecord = {
  stream: { service: "s", id: "a" },
  softwareVersion: "v1",
  origin: "h@1",
  order: 1,
  expiresAt: systemClock.now() + 60_000,
};
const BATCH = { origin: "h@1", records: [RECORD] };

async function withServer(
  listener: RequestListener,
  work: (host: HostEntry, client: KeeperClient) => Promise<void>,
): Promise<void> {
  const server = createServer(listener);
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK, () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const client = new KeeperClient({
    clock: systemClock,
    events: { note: () => undefined },
    createClient: (address) => createJsonClient(address, systemClock),
  });
  try {
    await work({ id: "k", address: `${LOOPBACK}:${port}`, hall: "h" }, client);
  } finally {
    client.close();
    server.closeAllConnections();
    server.close();
  }
}

function createKeeper() {
  const table = new VersionTable();
  const history = new VersionHistory();
  const server = new KeeperServer({
    table,
    history,
    archive: () => undefined,
    isListingFresh: () => true,
    now: systemClock.now,
  });
  return { table, server };
}

test("a keeper that was sent a record responds with it", async () => {
  const { server } = createKeeper();
  const accept: RequestListener = (request, response) =>
    server.accept(request, response);
  await withServer(accept, async (host, client) => {
    assert.equal(await client.send(host, BATCH), true);
    const { answers: [answer] } = await client.ask([host], RECORD.stream);
    assert.deepEqual(answer?.response, {
      type: "known",
      softwareVersion: "v1",
      origin: "h@1",
      order: 1,
    });
  });
});

test("a response that isn't a keeper's counts as none", async () => {
  const state: RequestListener = (request, response) => {
    request.resume();
    response.end('{"hosts":[],"version":1}');
  };
  await withServer(state, async (host, client) => {
    assert.equal(await client.send(host, BATCH), false);
    assert.deepEqual(await client.ask([host], RECORD.stream), {
      answers: [],
      ended: [],
    });
  });
});

// It counted as a host whose process has ended, which nobody waits for.
test("a keeper whose response is broken off for its length has not ended", async () => {
  const tooLong: RequestListener = (request, response) => {
    request.resume();
    response.writeHead(200, { "Content-Length": String(1 << 30) });
    response.write("{");
  };
  await withServer(tooLong, async (host, client) => {
    assert.deepEqual(await client.ask([host], RECORD.stream), {
      answers: [],
      ended: [],
    });
  });
});

test("a body over the bound is rejected and nothing is stored", async () => {
  const { table, server } = createKeeper();
  const accept: RequestListener = (request, response) =>
    server.accept(request, response);
  await withServer(accept, async ({ address }) => {
    const response = await fetch(`http://${address}${KEEPER_PATH}`, {
      method: "POST",
      body: JSON.stringify({ type: "ask", pad: "x".repeat(1 << 20) }),
    });
    assert.equal(response.status, 413);
    assert.equal(table.size, 0);
  });
});
