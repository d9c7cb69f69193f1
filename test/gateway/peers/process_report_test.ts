/** Guards against peers that are gone, or were restarted, and count as running. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Clock, systemClock } from "../../../src/gateway/clock.ts";
import { askProcess } from "../../../src/gateway/peers/process_report.ts";
import { PeerConnections } from "../../../src/gateway/peers/peer_connections.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import {
  type RawAnswer,
  type RawReplica,
  startRawReplica,
} from "../raw_replica.ts";

const RUN = "1";
const RESPONSE = responseOf(JSON.stringify({ run: RUN }));

function responseOf(body: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

const respond: RawAnswer = (_request, socket) => void socket.write(RESPONSE);
const reset: RawAnswer = (_request, socket) => void socket.resetAndDestroy();
const staySilent: RawAnswer = () => undefined;

/** Responds to the first request and handles the others differently. */
function respondOnce(later: RawAnswer): RawAnswer {
  return (request, socket) =>
    (request.number === 1 ? respond : later)(request, socket);
}

/** Lets what the peer has written arrive: reads come before later timers. */
function arrival(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 1));
}

/**
 * Time-outs take ten times as long, so that a peer that responds does so in time
 * on a busy machine.
 */
const patientClock: Clock = {
  now: systemClock.now,
  after: (delayMs, callback) => systemClock.after(delayMs * 10, callback),
};

/** Checks a peer several times over the same connections. */
async function check(
  answer: RawAnswer,
  times: number,
  pause = arrival,
): Promise<{ readonly results: boolean[]; readonly peer: RawReplica }> {
  const peer = await startRawReplica(answer);
  const clock = patientClock;
  const connections = new PeerConnections((address) =>
    createJsonClient(address, clock)
  );
  const results: boolean[] = [];
  for (let at = 0; at < times; at++) {
    const { address } = peer;
    const process = { address, run: RUN };
    const report = await askProcess(process, { clock, connections });
    results.push(report !== undefined);
    await pause();
  }
  connections.close();
  peer.stop();
  return { results, peer };
}

test("checks of a peer that responds share a connection", async () => {
  const { results, peer } = await check(respond, 3);
  assert.deepEqual(results, [true, true, true]);
  assert.equal(peer.connections(), 1);
});

test("a connection without a response confirms nothing", async () => {
  for (const answer of [reset, staySilent]) {
    const { results } = await check(answer, 1);
    assert.deepEqual(results, [false]);
  }
});

test("a connection kept since before the peer ended confirms nothing", async () => {
  for (const later of [reset, staySilent]) {
    const { results } = await check(respondOnce(later), 2);
    assert.deepEqual(results, [true, false]);
  }
});

test("a second response to an earlier question confirms nothing", async () => {
  const twice: RawAnswer = (request, socket) => {
    if (request.number === 1) socket.write(RESPONSE + RESPONSE);
  };
  const { results } = await check(twice, 2);
  assert.deepEqual(results, [true, false]);
});

test("a second response that arrives between questions confirms nothing", async () => {
  let writeAgain = () => {};
  const twice: RawAnswer = (request, socket) => {
    if (request.number > 1) return;
    socket.write(RESPONSE);
    writeAgain = () => void socket.write(RESPONSE);
  };
  const { results } = await check(twice, 2, async () => {
    await arrival();
    writeAgain();
    await arrival();
  });
  assert.deepEqual(results, [true, false]);
});

test("a peer that has closed the kept connection is asked over a new one", async () => {
  const connections = new Set<unknown>();
  const closeKept: RawAnswer = (request, socket) => {
    connections.add(socket);
    const isKept = request.number > 1 && connections.size === 1;
    (isKept ? reset : respond)(request, socket);
  };
  const { results, peer } = await check(closeKept, 2);
  assert.deepEqual(results, [true, true]);
  assert.equal(peer.connections(), 2);
});

test("a peer that was started again, or names no run, confirms nothing", async () => {
  for (const body of ['{"run":"2"}', "{}", "null", "[", ""]) {
    const answer: RawAnswer = (_request, socket) => {
      socket.write(responseOf(body));
    };
    const { results } = await check(answer, 1);
    assert.deepEqual(results, [false], body);
  }
});

test("a peer whose tunnel named no run confirms nothing", async () => {
  const peer = await startRawReplica(respond);
  const clock = patientClock;
  const connections = new PeerConnections((address) =>
    createJsonClient(address, clock)
  );
  const process = { address: peer.address, run: undefined };
  const report = await askProcess(process, { clock, connections });
  connections.close();
  peer.stop();
  assert.equal(report, undefined);
});
