/**
 * Aborted responses to callers that use HTTP/1.0, to whom a body of unknown
 * length goes unframed. Guards against a part of a body that looks whole: a
 * caller that learns of a reset while it reads may take it for an orderly end.
 */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { createReply } from "../../../src/gateway/callers/reply.ts";
import type { Reply } from "../../../src/gateway/requests/request.ts";
import { Framing } from "../../../src/gateway/upstreams/framing.ts";
import { knownRed } from "../../known_red.ts";
import { testDialect } from "../dialect.ts";
import { listen } from "../paths/test_peer.ts";
import { openConnection } from "../raw_connection.ts";

const CALLS = 40;
const PART = Buffer.alloc(300 * 1024, "x");

/** What a caller that reads to the end of its connection sees of a response. */
async function seenOf(
  write: (reply: Reply) => void,
): Promise<{ readonly text: string; readonly hasFailed: boolean }> {
  const server = createServer((_, response) => {
    const reply = createReply({
      response,
      dialect: testDialect,
      shouldCloseConnection: () => false,
    });
    const head = { status: 200, rawHeaders: [], framing: Framing.chunked };
    reply.writeHead(head);
    write(reply);
  });
  const { socket, closed } = openConnection(await listen(server));
  let hasFailed = false;
  socket.on("error", () => hasFailed = true);
  socket.write("GET / HTTP/1.0\r\n\r\n");
  const text = await closed;
  server.close();
  return { text, hasFailed };
}

const CUT = "an aborted response to an HTTP/1.0 caller never ends in order";
test(CUT, knownRed(CUT), async () => {
  let unseen = 0;
  for (let call = 0; call < CALLS; call++) {
    const { text, hasFailed } = await seenOf((reply) => {
      reply.write(PART);
      reply.abort();
    });
    assert.match(text, /^HTTP\/1.1 200 /);
    if (!hasFailed) unseen += 1;
  }
  assert.equal(unseen, 0);
});
