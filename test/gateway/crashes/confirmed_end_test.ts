/** Guards against two probes for one stream whose framing confirms no end. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspectKind } from "../../../src/gateway/crashes/model.ts";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { callRaw, SeenEnding } from "../raw_caller.ts";
import { chunk, chunkedHeaders, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
/** Lets the gateway read the written bytes before the connection ends. */
const AFTER_READ_MS = 20;

/** Counts the probes of a rig's replicas. */
function countProbes({ context: { paths: { monitor } } }: Rig) {
  const probes: string[] = [];
  const probe = monitor.probe.bind(monitor);
  monitor.probe = (entry) => {
    probes.push(entry.incarnation);
    return probe(entry);
  };
  return probes;
}

test("a stream that crashed a replica and ends at another costs one probe there", async () => {
  let rig: Rig | undefined;
  const crash: RawAnswer = (request, socket) => {
    socket.write(chunkedHeaders(request) + chunk(FIRST), () => {
      rig?.replicas[0]?.stop();
    });
  };
  const unframed: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id") ?? "";
    const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n` +
      "content-type: text/event-stream\r\n\r\n";
    socket.write(head + SECOND);
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
  const route = { kind: RouteKind.streaming, attempts: 2, resumable: true };
  const replicas = [{ answer: crash }, { answer: unframed }];
  await withRig({ route, replicas }, async (started) => {
    rig = started;
    const probes = countProbes(rig);
    const { body, ending } = await callRaw(rig.address);
    assert.deepEqual([body, ending], [FIRST + SECOND, SeenEnding.complete]);
    const { crashes } = rig.context;
    while (crashes.all().clearances.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    const requests = crashes.all().records
      .filter(({ kind }) => kind === SuspectKind.request);
    assert.equal(requests.length, 1);
    assert.deepEqual(probes, ["r0", "r1"]);
  });
});
