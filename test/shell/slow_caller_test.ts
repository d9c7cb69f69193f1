/** Tests that the connection of a caller that does not read is closed. */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import assert from "node:assert/strict";
import type { Event } from "../../src/core/mod.ts";
import { createCallers } from "../../src/shell/callers/server.ts";

const TEXT = "x".repeat(64 * 1024);

test("reports callerGone when a caller does not read its stream", async () => {
  const events: Event[] = [];
  const callers = createCallers({
    push: (event) => events.push(event),
    newRequestId: () => "h/1/1",
    bodyLimit: 10_000,
    unsentLimit: 100_000,
    models: () => undefined,
    notReady: () => undefined,
    metrics: () => "",
  });
  callers.server.listen(0, "127.0.0.1");
  await once(callers.server, "listening");
  const bound = callers.server.address();
  assert.ok(typeof bound === "object" && bound);
  const caller = connect(bound.port, "127.0.0.1");
  caller.pause();
  const body = JSON.stringify({ model: "m", prompt: "p", stream: true });
  caller.write(
    "POST /v1/completions HTTP/1.1\r\nHost: h\r\n" +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
  while (events.length === 0) await nextTurn();
  while (!events.some((event) => event.type === "callerGone")) {
    const chunk = { request: "h/1/1", text: TEXT, tokens: 1 };
    callers.reply({ type: "replyChunk", ...chunk });
    await nextTurn();
  }
  assert.equal(callers.openCount(), 0);
  caller.destroy();
  callers.server.close();
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
