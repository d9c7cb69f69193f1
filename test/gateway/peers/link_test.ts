/** Tests the heartbeats, timeouts and messages of links between hosts. */
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import type { Clock } from "../../../src/gateway/clock.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import {
  acceptLink,
  type Link,
  LinkPath,
  openLink,
} from "../../../src/gateway/peers/link.ts";
import { LOOPBACK } from "../../loopback.ts";
import { until } from "../raw_connection.ts";

/** A clock that moves only when the test advances it. */
function manualClock(): Clock & {
  advance(byMs: number): void;
  /** Ids of the pending timers. */
  pending(): string;
} {
  let now = 0;
  const timers = new Map<number, { at: number; work: () => void }>();
  let nextId = 0;
  return {
    now: () => now,
    pending: () => [...timers.keys()].join(),
    after: (delayMs, work) => {
      const id = nextId++;
      timers.set(id, { at: now + delayMs, work });
      return () => timers.delete(id);
    },
    advance: (byMs) => {
      now += byMs;
      for (const [id, { at, work }] of [...timers]) {
        if (at > now || !timers.has(id)) continue;
        timers.delete(id);
        work();
      }
    },
  };
}

/** Opens a link; each end has a clock of its own. */
async function startLink() {
  const clocks = { opener: manualClock(), acceptor: manualClock() };
  const closed: string[] = [];
  const lines: string[] = [];
  const metrics = { opener: new Metrics(), acceptor: new Metrics() };
  let accepted: Link | undefined;
  const server: Server = createServer((request, response) => {
    response.writeHead(200);
    response.flushHeaders();
    accepted = acceptLink(request, response, {
      clock: clocks.acceptor,
      metrics: metrics.acceptor,
      events: {
        line: (text) => lines.push(text),
        closed: () => closed.push("acceptor"),
      },
    });
  });
  const port = await new Promise<number>((resolve) => {
    server.listen(0, LOOPBACK, () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : 0);
    });
  });
  const target = {
    address: `${LOOPBACK}:${port}`,
    path: LinkPath.plan,
    self: "a",
    clock: clocks.opener,
    metrics: metrics.opener,
  };
  const opened = await new Promise<Link>((resolve) => {
    const link = openLink(target, {
      ready: () => resolve(link),
      line: (text) => lines.push(text),
      closed: () => closed.push("opener"),
    });
  });
  const end = () => {
    opened.close();
    accepted?.close();
    server.closeAllConnections();
    server.close();
  };
  const reply = (message: object) => accepted?.send(message);
  return { clocks, closed, lines, metrics, opened, reply, end };
}

test("an opener that has sent a message closes the link if nothing arrives for 900 ms", async () => {
  const link = await startLink();
  link.clocks.opener.advance(2000);
  link.opened.send({ type: "request" });
  link.clocks.opener.advance(899);
  assert.deepEqual(link.closed, []);
  link.clocks.opener.advance(1);
  assert.deepEqual(link.closed, ["opener"]);
  link.end();
});

test("an idle opener closes the link if nothing arrives for 3.1 s", async () => {
  const link = await startLink();
  link.clocks.opener.advance(3099);
  assert.deepEqual(link.closed, []);
  link.clocks.opener.advance(1);
  assert.deepEqual(link.closed, ["opener"]);
  link.end();
});

test("a link that becomes idle after a reply uses the idle timeout", async () => {
  const link = await startLink();
  link.opened.send({ type: "request" });
  while (link.lines.length < 1) await new Promise((go) => setTimeout(go, 5));
  link.clocks.opener.advance(800);
  link.reply({ type: "grant" });
  while (link.lines.length < 2) await new Promise((go) => setTimeout(go, 5));
  link.clocks.opener.advance(1500);
  assert.deepEqual(link.closed, []);
  link.clocks.opener.advance(1600);
  assert.deepEqual(link.closed, ["opener"]);
  link.end();
});

test("an acceptor pings at the busy interval only after a message of its opener", async () => {
  const link = await startLink();
  const pings = () => {
    let count = 0;
    for (let elapsedMs = 0; elapsedMs < 900; elapsedMs += 10) {
      const before = link.clocks.acceptor.pending();
      link.clocks.acceptor.advance(10);
      if (link.clocks.acceptor.pending() !== before) count += 1;
    }
    return count;
  };
  assert.ok(pings() <= 1);
  link.opened.send({ type: "request" });
  while (link.lines.length < 1) await new Promise((go) => setTimeout(go, 5));
  assert.ok(pings() >= 3);
  link.end();
});

test("an acceptor closes the link if nothing arrives for 3.1 s", async () => {
  const link = await startLink();
  link.clocks.acceptor.advance(3099);
  assert.deepEqual(link.closed, []);
  link.clocks.acceptor.advance(1);
  assert.deepEqual(link.closed, ["acceptor"]);
  link.end();
});

test("messages pass in both directions, heartbeats are not reported", async () => {
  const link = await startLink();
  link.clocks.acceptor.advance(300);
  link.opened.send({ type: "request" });
  while (link.lines.length < 1) await new Promise((go) => setTimeout(go, 5));
  link.reply({ type: "grant" });
  while (link.lines.length < 2) await new Promise((go) => setTimeout(go, 5));
  assert.deepEqual(link.lines, ['{"type":"request"}', '{"type":"grant"}']);
  link.end();
});

/** A link that the test accepts, and a raw connection that sends to it. */
async function startRawLink() {
  const clock = manualClock();
  const closed: string[] = [];
  const lines: string[] = [];
  let receivedChars = 0;
  const server = createServer((request, response) => {
    server.close();
    acceptLink(request, response, {
      clock,
      events: {
        line: (text) => lines.push(text),
        closed: () => closed.push("acceptor"),
      },
    });
    request.on("data", (text: string) => receivedChars += text.length);
  });
  const socket = await new Promise<Socket>((resolve) => {
    server.listen(0, LOOPBACK, () => {
      const bound = server.address();
      assert.ok(typeof bound === "object" && bound);
      resolve(connect(bound.port, LOOPBACK));
    });
  });
  socket.on("error", () => undefined);
  socket.on("data", () => undefined);
  socket.write("POST /plan HTTP/1.1\r\nHost: a\r\n");
  socket.write("Transfer-Encoding: chunked\r\n\r\n");
  const send = (text: string) =>
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  return { clock, closed, lines, socket, send, received: () => receivedChars };
}

test("a link whose peer sends a line without end is closed", async () => {
  const { socket, send, closed } = await startRawLink();
  const text = "a".repeat(1 << 20);
  for (let sent = 0; sent < 64 && !socket.destroyed; sent++) {
    send(text);
    await new Promise((go) => setImmediate(go));
  }
  await until(() => closed.length > 0 || socket.writableLength === 0);
  assert.deepEqual(closed, ["acceptor"]);
  socket.destroy();
});

test("a line that takes longer than the timeout to arrive keeps its link open", async () => {
  const { clock, closed, lines, socket, send, received } = await startRawLink();
  for (let sent = 1; sent <= 5; sent++) {
    send("a");
    await until(() => received() === sent || closed.length > 0);
    clock.advance(2000);
  }
  assert.deepEqual(closed, []);
  send("\n");
  await until(() => lines.length > 0);
  assert.deepEqual(lines, ["aaaaa"]);
  clock.advance(3100);
  assert.deepEqual(closed, ["acceptor"]);
  socket.destroy();
});

// Which messages load a host in a large fleet shows on no other page.
test("both ends count the messages and bytes of a link by path and type", async () => {
  const link = await startLink();
  const message = { type: "request", text: "é" };
  link.opened.send(message);
  while (link.lines.length === 0) {
    await new Promise((done) => setImmediate(done));
  }
  const bytes = Buffer.byteLength(JSON.stringify(message));
  const labels = '{path="/plan",type="request"}';
  const sent = link.metrics.opener.render({});
  assert.ok(sent.includes(`otterhill_link_messages_sent_total${labels} 1\n`));
  assert.ok(
    sent.includes(`otterhill_link_bytes_sent_total${labels} ${bytes + 1}\n`),
  );
  const received = link.metrics.acceptor.render({});
  assert.ok(
    received.includes(`otterhill_link_messages_received_total${labels} 1\n`),
  );
  assert.ok(
    received.includes(
      `otterhill_link_bytes_received_total${labels} ${bytes + 1}\n`,
    ),
  );
  link.end();
});
