/**
 * Guards against messages of other hosts that end a host process: each is a
 * sound message but for one value.
 */
import assert from "node:assert/strict";
import { createServer, request } from "node:http";
import type { Writable } from "node:stream";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { LINK_HOST_HEADER } from "../../src/gateway/peers/link.ts";
import { KEEPER_PATH } from "../../src/gateway/streams/keeper_messages.ts";
import { listen } from "../platform/store_standin.ts";
import { CallKind } from "./call.ts";
import {
  HOST,
  KEEPER_MESSAGES,
  oddTexts,
  RESPONSES,
  TO_ACCEPTOR,
  TO_OPENER,
} from "./odd_messages.ts";
import { sleep } from "./sleep.ts";
import {
  areServedAtAll,
  runCallers,
  runCallersUntil,
  type TestFleet,
  withFleet,
} from "./test_fleet.ts";

const KINDS = [CallKind.safe, CallKind.stream];
const LINE_INTERVAL_MS = 5;
/** In this time, hosts know of another host and open links to it. */
const KNOWN_MS = 6000;
/** Higher than that of the other hosts, which therefore follow this one. */
const ODD_HOST_CAPACITY = 50;
async function writeLines(
  to: Writable,
  lines: readonly string[],
): Promise<void> {
  for (const line of lines) {
    if (to.destroyed) return;
    to.write(`${line}\n`);
    await sleep(LINE_INTERVAL_MS);
  }
}

/** Opens a link and sends lines; ends it afterwards. */
async function sendLines(
  address: string,
  path: string,
  lines: readonly string[],
): Promise<void> {
  const [host, port] = address.split(":");
  const outgoing = request({
    host,
    port,
    path,
    method: "POST",
    headers: { [LINK_HOST_HEADER]: HOST.id },
    agent: false,
  });
  outgoing.on("error", () => undefined);
  outgoing.on("response", (response) => response.resume());
  await writeLines(outgoing, lines);
  outgoing.destroy();
}

/** Sends calls, whatever their responses are. */
async function sendCalls(
  address: string,
  calls: readonly { readonly path: string; readonly body?: string }[],
): Promise<void> {
  const [host, port] = address.split(":");
  for (const { path, body } of calls) {
    const method = body === undefined ? "GET" : "POST";
    const outgoing = request({ host, port, path, method, agent: false });
    outgoing.on("error", () => undefined);
    outgoing.on("response", (response) => response.resume());
    outgoing.end(body);
    await new Promise((resolve) => outgoing.on("close", resolve));
  }
}

function startsOf({ hosts }: TestFleet): unknown[] {
  return hosts.map(({ process: { name, startCount, exits } }) => ({
    name,
    startCount,
    exits,
  }));
}

const SENT = "odd messages that hosts receive end none";
test(SENT, knownRed(SENT), async () => {
  await withFleet(async (fleet) => {
    const starts = startsOf(fleet);
    const [target] = fleet.hosts;
    assert.ok(target);
    const { address } = target.peerProxy;
    for (const [path, messages] of Object.entries(TO_ACCEPTOR)) {
      await sendLines(address, path, oddTexts(messages));
      assert.deepEqual(startsOf(fleet), starts, path);
    }
    const bodies = oddTexts(KEEPER_MESSAGES);
    await sendCalls(
      address,
      bodies.map((body) => ({ path: KEEPER_PATH, body })),
    );
    const paths = ["//", "//a:b", "/state?replicas=1e400&base=-1e400", "*"];
    await sendCalls(address, paths.map((path) => ({ path })));
    assert.deepEqual(startsOf(fleet), starts);
    await runCallersUntil(fleet, {
      kinds: KINDS,
      condition: (results) => areServedAtAll(fleet, results),
      what: "all hosts serve",
    });
    assert.deepEqual(startsOf(fleet), starts);
  }, { hosts: 2 });
});

const ANSWERED = "odd messages that hosts get as answers end none";
test(ANSWERED, knownRed(ANSWERED), async () => {
  await withFleet(async (fleet) => {
    const starts = startsOf(fleet);
    const bodies = oddTexts(RESPONSES);
    let calls = 0;
    let links = 0;
    const server = createServer((incoming, response) => {
      incoming.on("error", () => undefined);
      response.on("error", () => undefined);
      incoming.resume();
      const messages = TO_OPENER[incoming.url ?? ""];
      if (messages) {
        links += 1;
        response.writeHead(200);
        return void writeLines(response, oddTexts(messages));
      }
      calls += 1;
      response.end(bodies[calls % bodies.length]);
    });
    try {
      const address = await listen(server);
      const host = { ...HOST, address, capacity: ODD_HOST_CAPACITY };
      const row = { hosts: [host], writtenMs: performance.now() };
      fleet.world.store.put("otterhill-hosts", host.id, row);
      await runCallers(fleet, { kinds: KINDS, forMs: KNOWN_MS });
      assert.ok(links > 0 && calls > 0, `${links} links, ${calls} calls`);
      assert.deepEqual(startsOf(fleet), starts);
    } finally {
      server.closeAllConnections();
      server.close();
    }
  }, { hosts: 2 });
});
