/**
 * Tests which responses of the stand-ins look whole to the soak's callers, over
 * a fault proxy too.
 */
import assert from "node:assert/strict";
import { Agent, createServer } from "node:http";
import { test } from "node:test";
import {
  ConnectionEnd,
  Framing,
  type ResponseCut,
  type ResponseShape,
  writeResponse,
} from "../platform/response_standin.ts";
import { listen } from "../platform/store_standin.ts";
import { streamTexts } from "../platform/stream_standin.ts";
import { CallKind, callOnce, type CallResult } from "./call.ts";
import { startFaultProxy } from "./fault_proxy.ts";

const ID = "request";
const PIECES = streamTexts({ index: 15, request: ID, softwareVersion: "v1" });
const BODY = PIECES.join("");
const EVENT_BYTES = PIECES[0]?.length ?? 0;
const IN_EVENT = EVENT_BYTES + 3;

/** Calls a server that responds in the given shape. */
async function call(
  shape: ResponseShape,
  kind: CallKind = CallKind.stream,
): Promise<CallResult> {
  const server = createServer((request, response) => {
    request.resume();
    const headers = { "Server-Seal": `replica.${ID}` };
    const wait = () => new Promise<void>(setImmediate);
    void writeResponse(response, { headers, pieces: PIECES, shape, wait });
  });
  const proxy = await startFaultProxy(await listen(server));
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const host = { name: "server", address: proxy.address };
  try {
    return await callOnce({
      agent,
      host,
      id: ID,
      kind,
      body: "",
      abortsEarly: false,
    });
  } finally {
    agent.destroy();
    proxy.stop();
    server.close();
  }
}

function cutAt(position: number, end: ConnectionEnd): ResponseCut {
  return { end, position: () => position };
}

for (const framing of Object.values(Framing)) {
  for (const isCloseOmitted of [false, true]) {
    const head = `framing ${framing}, close omitted ${isCloseOmitted}`;
    const shape = { framing, isCloseOmitted };

    test(`a whole response looks whole (${head})`, async () => {
      const result = await call(shape);
      assert.equal(result.framing, framing);
      assert.equal(result.body, BODY);
      assert.ok(result.isComplete);
    });

    for (const end of Object.values(ConnectionEnd)) {
      test(`a stream cut inside an event looks broken (${head}, ${end})`, async () => {
        const result = await call({ ...shape, cut: cutAt(IN_EVENT, end) });
        assert.equal(result.status, 200);
        assert.equal(result.body, BODY.slice(0, IN_EVENT));
        assert.ok(!result.isComplete);
      });

      test(`only an orderly end without framing hides a cut (${head}, ${end})`, async () => {
        const isHidden = framing === Framing.none && end === ConnectionEnd.fin;
        for (const position of [EVENT_BYTES, 0]) {
          const cut = cutAt(position, end);
          const result = await call({ ...shape, cut });
          assert.equal(result.body, BODY.slice(0, position));
          assert.equal(result.isComplete, isHidden);
        }
        const cut = cutAt(IN_EVENT, end);
        const plain = await call({ ...shape, cut }, CallKind.safe);
        assert.equal(plain.isComplete, isHidden);
      });
    }
  }
}
