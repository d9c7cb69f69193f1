/** Guards against errors of a listening server ending the process. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Server } from "node:net";
import { test } from "node:test";
import { Listener } from "../../src/gateway/listener.ts";
import { Metrics } from "../../src/gateway/observe/metrics.ts";

/** A server whose attempts to listen the test decides on. */
class FakeServer extends EventEmitter {
  listening = false;
  attempts = 0;
  listen(): void {
    this.attempts += 1;
  }
  open(): void {
    this.listening = true;
    this.emit("listening");
  }
  fail(code: string): void {
    this.emit("error", Object.assign(new Error(code), { code }));
  }
  close(): void {
    this.listening = false;
  }
}

function createListener() {
  const server = new FakeServer();
  const delays: number[] = [];
  let retry = () => {};
  let isStopping = false;
  const names: string[] = [];
  const listener = new Listener(server as unknown as Server, {
    name: "callers",
    address: "127.0.0.1:1",
    clock: {
      now: () => 0,
      after: (delayMs, callback) => {
        delays.push(delayMs);
        retry = callback;
        return () => retry = () => {};
      },
    },
    events: { note: (name) => names.push(name) },
    metrics: new Metrics(),
    isStopping: () => isStopping,
  });
  return {
    server,
    listener,
    delays,
    names,
    retry: () => retry(),
    requestStop: () => isStopping = true,
  };
}

test("an address that can't be opened is tried again with growing delays", async () => {
  const { server, listener, delays, names, retry } = createListener();
  for (const code of ["EADDRINUSE", "EADDRINUSE", "EACCES", "EMFILE"]) {
    server.fail(code);
    retry();
  }
  server.fail("EMFILE");
  retry();
  assert.deepEqual(delays, [50, 100, 200, 400, 500]);
  assert.equal(server.attempts, 6);
  assert.equal(listener.isOpen, false);
  server.open();
  await listener.opened;
  assert.equal(listener.isOpen, true);
  assert.deepEqual(names, [
    "listenFailed",
    "listenFailed",
    "listenFailed",
    "listening",
  ]);
});

test("errors of an open server are logged each time and change nothing", () => {
  const { server, listener, delays, names } = createListener();
  server.open();
  server.fail("ENFILE");
  server.fail("ENFILE");
  assert.deepEqual(names, ["acceptFailed", "acceptFailed"]);
  assert.deepEqual(delays, []);
  assert.equal(listener.isOpen, true);
});

test("a host that stops, or a listener that is closed, doesn't try again", () => {
  const stopped = createListener();
  stopped.server.fail("EADDRINUSE");
  stopped.requestStop();
  stopped.retry();
  assert.equal(stopped.server.attempts, 1);
  const closed = createListener();
  closed.server.fail("EADDRINUSE");
  closed.listener.close();
  closed.retry();
  assert.equal(closed.server.attempts, 1);
});
