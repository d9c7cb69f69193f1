/**
 * A replica goes on behind the last id. Guards against events that their caller
 * gets twice, since they have no id.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { chunk, chunkedHeaders, type RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";
import {
  event,
  interruptedAfter,
  received,
  replica,
  ROUTE,
} from "./stream_rig.ts";

const COMMENT = ": still here\n\n";

/** Sends two events, of which those that the caller has may come again. */
const goesOn: RawAnswer = (request, socket) => {
  const isResumed = request.headers.has("last-event-id");
  const events = isResumed ? event(2) : event(1) + event(2);
  socket.write(chunkedHeaders(request) + chunk(events) + chunk(""));
};

/** The response and the number of sends to each replica. */
async function callAfter(forwarded: string) {
  const replicas = [
    replica("v1", interruptedAfter(forwarded)),
    replica("v1", goesOn),
  ];
  let result: unknown[] = [];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    const { body, complete } = await rig.call();
    result = [body, complete, received(rig)];
  });
  return result;
}

for (
  const forwarded of [
    "data: a\n\n",
    `${event(1)}data: a\n\n`,
    `${event(1)}${COMMENT}data: a\r\n\r\n`,
  ]
) {
  test(`a stream is not resumed behind ${JSON.stringify(forwarded)}`, async () => {
    const result = await callAfter(forwarded);
    assert.deepEqual(result, [forwarded, false, [1, 0]]);
  });
}

for (
  const forwarded of [
    event(1),
    `${event(1)}${COMMENT}`,
    "data: 1\nid: 1\n\n",
    `data: a\n\n${event(1)}`,
  ]
) {
  test(`a stream is resumed behind ${JSON.stringify(forwarded)}`, async () => {
    const result = await callAfter(forwarded);
    assert.deepEqual(result, [forwarded + event(2), true, [1, 1]]);
  });
}
