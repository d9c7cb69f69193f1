/** What the log tells about the replicas that wrote the parts of a stream. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { chunk, chunkedHeaders, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const ROUTE = { kind: RouteKind.streaming, resumable: true };

const interrupted: RawAnswer = (request, socket) => {
  socket.write(
    chunkedHeaders(request) + chunk("id: 5\ndata: a\n\n"),
    () => setImmediate(() => socket.destroy()),
  );
};

const rest: RawAnswer = (request, socket) => {
  const events = "id: 6\ndata: b\n\n";
  socket.write(chunkedHeaders(request) + chunk(events) + chunk(""));
};

function placements({ events }: Rig): object[] {
  return events.filter(({ name }) => name === "placed").map(({ fields }) => {
    const { software_version, resumes, after } = fields as Record<
      string,
      unknown
    >;
    return { software_version, resumes, after };
  });
}

test("the log of a send names the replica's software version and the stream it resumes", async () => {
  const replicas = [
    { answer: interrupted, softwareVersion: "v1" },
    { answer: rest, softwareVersion: "v1" },
  ];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    rig.context.streams.learn({ isCovered: true, versions: [] });
    const headers = { "last-event-id": "4", "x-resumes": "first" };
    await rig.call({ headers });
    const sent = { software_version: "v1", resumes: "first" };
    assert.deepEqual(placements(rig), [
      { ...sent, after: "4" },
      { ...sent, after: "5" },
    ]);
    const resumed = rig.events.find(({ name }) => name === "resumed")?.fields;
    assert.deepEqual(resumed, {
      request: "1",
      route: "route",
      customer: undefined,
      lastId: "5",
      software_version: "v1",
    });
  });
});

test("the log of a send that resumes nothing names no stream", async () => {
  const replicas = [{ answer: rest }];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    await rig.call({ headers: { "x-resumes": "first" } });
    assert.deepEqual(placements(rig), [{
      software_version: undefined,
      resumes: undefined,
      after: undefined,
    }]);
  });
});

test("the log of a response names the first event of its last replica and the last one that was forwarded", async () => {
  const replicas = [{ answer: interrupted }, { answer: rest }];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    await rig.call({});
    const resumed = rig.events.find(({ name }) => name === "resumed")?.fields;
    const answered = rig.events.find(({ name }) => name === "answered")?.fields;
    assert.equal((resumed as Record<string, unknown>)["lastId"], "5");
    const { first_id, last_id, events } = answered as Record<string, unknown>;
    const expected = { first_id: "6", last_id: "6", events: 1 };
    assert.deepEqual({ first_id, last_id, events }, expected);
  });
});
