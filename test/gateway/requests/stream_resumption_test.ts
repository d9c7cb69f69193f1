/**
 * A stream that its caller resumes, at whatever host, goes on at the software
 * version that began it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage, RouteKind } from "../../../src/gateway/mod.ts";
import type { RawAnswer } from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";
import {
  boundTo,
  continues,
  decodeReplica,
  decodes,
  received,
  replica,
  RESUMED,
  ROUTE,
  streamSource,
} from "./stream_rig.ts";

test("a stream resumed at another host goes on at the version that began it", async () => {
  const replicas = [replica("v1", continues), replica("v2", continues)];
  const { source, resolved, notes } = streamSource(boundTo("v2"));
  const options = { route: ROUTE, replicas, streams: source };
  await withRig(options, async (rig) => {
    const response = await rig.call({ id: "third", headers: RESUMED });
    assert.equal(response.status, 200);
    assert.deepEqual(received(rig), [0, 1]);
    const stream = { service: "service", id: "first" };
    assert.deepEqual(resolved, [stream]);
    // Recorded under the attempt of the first event, which a later one names.
    assert.deepEqual(notes, [{ stream, softwareVersion: "v2" }]);
  });
});

test("a stream resumed at a model engine goes on at the version that began it", async () => {
  const replicas = [
    decodeReplica("v1", continues),
    decodeReplica("v2", continues),
    decodeReplica("v1", continues),
  ];
  const { source } = streamSource(boundTo("v2"));
  const options = { route: ROUTE, engine: ENGINE, replicas, streams: source };
  await withRig(options, async (rig) => {
    const response = await rig.call({ headers: RESUMED });
    assert.equal(response.status, 200);
    assert.deepEqual(received(rig), [0, 1, 0]);
  });
});

test("a stream whose version is unknown is rejected without a Retry-After", async () => {
  const replicas = [replica("v1", continues), replica("v2", continues)];
  const { source } = streamSource({ type: "unknown" });
  const options = { route: ROUTE, replicas, streams: source };
  await withRig(options, async (rig) => {
    const { status, headers } = await rig.call({ headers: RESUMED });
    assert.equal(status, 503);
    assert.equal(headers["retry-after"], undefined);
    assert.deepEqual(received(rig), [0, 0]);
    const refused = rig.events.find(({ name }) => name === "refused");
    assert.ok(refused && "error" in refused.fields);
    assert.equal(refused.fields.error, "stream_version_unknown");
  });
});

test("a stream is rejected with a Retry-After while its version has no replica", async () => {
  for (const engine of [undefined, ENGINE]) {
    const replicas = engine
      ? [decodeReplica("v1", continues)]
      : [replica("v1", continues)];
    const { source } = streamSource(boundTo("v2"));
    const options = { route: ROUTE, replicas, streams: source };
    await withRig({ ...options, ...(engine && { engine }) }, async (rig) => {
      const { status, headers } = await rig.call({ headers: RESUMED });
      assert.equal(status, 503);
      assert.ok(Number(headers["retry-after"]) > 0);
      assert.deepEqual(received(rig), [0]);
      const refused = rig.events.find(({ name }) => name === "refused");
      assert.ok(refused && "error" in refused.fields);
      assert.equal(refused.fields.error, "stream_version_gone");
    });
  }
});

test("replicas without a version count as one version", async () => {
  const replicas = [{ answer: continues }, replica("v2", continues)];
  const { source } = streamSource({
    type: "bound",
    softwareVersion: undefined,
  });
  const options = { route: ROUTE, replicas, streams: source };
  await withRig(options, async (rig) => {
    await rig.call({ headers: RESUMED });
    await rig.call({ headers: RESUMED });
    assert.deepEqual(received(rig), [2, 0]);
  });
});

test("a request that resumes nothing is ordinary, whichever stream it names", async () => {
  const replicas = [replica("v1", continues), replica("v2", continues)];
  const { source, resolved, notes } = streamSource({ type: "unknown" });
  const options = { route: ROUTE, replicas, streams: source };
  await withRig(options, async (rig) => {
    const headers = { "x-resumes": "first" };
    const { status } = await rig.call({ id: "own", headers });
    assert.equal(status, 200);
    assert.deepEqual(resolved, []);
    assert.deepEqual(notes.map(({ stream }) => stream.id), ["own"]);
  });
});

test("a resumption that names no stream is resolved without an id", async () => {
  const replicas = [replica("v1", continues)];
  const { source, resolved } = streamSource(boundTo("v1"));
  const options = { route: ROUTE, replicas, streams: source };
  await withRig(options, async (rig) => {
    const headers = { "last-event-id": "0" };
    assert.equal((await rig.call({ headers })).status, 200);
    assert.deepEqual(resolved, [{ service: "service", id: "" }]);
  });
});

test("requests of routes that aren't resumable are not bound", async () => {
  for (const kind of [RouteKind.streaming, RouteKind.safe]) {
    const replicas = [replica("v1", continues)];
    const { source, resolved, notes } = streamSource({ type: "unknown" });
    const route = { kind, resumable: kind === RouteKind.safe };
    await withRig({ route, replicas, streams: source }, async (rig) => {
      assert.equal((await rig.call({ headers: RESUMED })).status, 200);
      assert.deepEqual([resolved, notes], [[], []]);
    });
  }
});

test("a stream is not sent to a replica that is listed with another version since its placement", async () => {
  let started: Rig | undefined;
  const relisted: RawAnswer = (request, socket) => {
    if (started && request.path.startsWith("/reserve")) {
      const { replicas } = started.context;
      const [entry] = replicas.entries();
      assert.ok(entry);
      const entries = [{ ...entry, softwareVersion: "v2" }];
      replicas.adopt({ revision: 2, entries });
    }
    decodes(continues)(request, socket);
  };
  const stage = ReplicaStage.decode;
  const replicas = [{ ...replica("v1", relisted), stage }];
  const { source } = streamSource(boundTo("v1"));
  const options = { route: ROUTE, engine: ENGINE, replicas, streams: source };
  await withRig(options, async (rig) => {
    started = rig;
    assert.equal((await rig.call({ headers: RESUMED })).status, 503);
    assert.deepEqual(received(rig), [0]);
    assert.ok(rig.events.some(({ name }) => name === "passedOver"));
  });
});

test("a stream waits for its version's backoff, although another version accepts requests", async () => {
  const backsOff: RawAnswer = (_request, socket) => {
    const headers = "x-not-run: 1\r\nx-backoff: 7000\r\ncontent-length: 0";
    socket.write(`HTTP/1.1 503 No\r\n${headers}\r\n\r\n`);
  };
  const replicas = [replica("v1", backsOff), replica("v2", continues)];
  const { source } = streamSource(boundTo("v1"));
  const options = { route: ROUTE, replicas, streams: source };
  await withRig({ ...options, now: () => 100_000 }, async (rig) => {
    for (const id of ["first", "second"]) {
      const { status, headers } = await rig.call({ id, headers: RESUMED });
      assert.equal(status, 503);
      assert.ok(Number(headers["retry-after"]) >= 7);
    }
    assert.deepEqual(received(rig), [1, 0]);
  });
});
