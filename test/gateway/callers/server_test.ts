/**
 * Requests that a stopping host accepts, and how bodies and errors are passed
 * on.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
} from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const GRACE_MS = 8000;

/** A decode replica that grants reservations and streams one event. */
const decode: RawAnswer = (request, socket) => {
  if (request.path.startsWith("/reserve")) {
    return void socket.write(completeResponse(request, '{"reservation":"m1"}'));
  }
  const events = "id: 1\ndata: a\n\n";
  socket.write(chunkedHeaders(request) + chunk(events) + chunk(""));
};

function markStopping(rig: Rig, agoMs: number): void {
  rig.context.stop.requestedAt = rig.context.clock.now() - agoMs;
  rig.context.stop.graceMs = GRACE_MS;
}

test("a stopping host refuses a stream that may outlast its grace period", async () => {
  const route = { kind: RouteKind.streaming, attempts: 1 };
  const replicas = [{ answer: decode, stage: "decode" as const }];
  await withRig({ route, engine: ENGINE, replicas }, async (rig) => {
    markStopping(rig, 1000);
    const accepted = await rig.call({ id: "1" });
    assert.deepEqual([accepted.status, accepted.complete], [200, true]);
    assert.equal(accepted.headers["connection"], "close");
    // Leaves 5.1 s of the grace period, less than the longest streams take.
    markStopping(rig, 2900);
    const receivedCount = rig.replicas[0]?.requests.length;
    const refused = await rig.call({ id: "2" });
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers["retry-after"]) < 1);
    assert.equal(rig.replicas[0]?.requests.length, receivedCount);
  });
});

test("a stopping host serves requests to plain services until shortly before the grace period ends", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, "body"));
  };
  // It ends by its own deadline before the host does.
  const route = { timeoutMs: 1000 };
  await withRig({ route, replicas: [{ answer }] }, async (rig) => {
    markStopping(rig, 5000);
    assert.equal((await rig.call({ id: "1" })).status, 200);
    markStopping(rig, 7900);
    assert.equal((await rig.call({ id: "2" })).status, 503);
  });
});

test("a chunked request body is forwarded unchanged with a Content-Length", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, request.body));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const headers = { "transfer-encoding": "chunked" };
    const sent = { method: "POST", headers, body: "a\r\nb" };
    assert.equal((await rig.call(sent)).body, "a\r\nb");
    const received = rig.replicas[0]?.requests[0];
    assert.equal(received?.headers.get("content-length"), "4");
    assert.equal(received?.headers.get("transfer-encoding"), undefined);
  });
});

test("a connection whose response says Connection: close is not reused", async () => {
  let isFirst = true;
  const closing: RawAnswer = (request, socket) => {
    socket.write(
      completeResponse(request, "ok", isFirst ? ["connection: close"] : []),
    );
    isFirst = false;
  };
  await withRig({ replicas: [{ answer: closing }] }, async (rig) => {
    const body = "x".repeat(100_000);
    assert.equal(
      (await rig.call({ id: "1", method: "POST", body })).status,
      200,
    );
    assert.equal((await rig.call({ id: "2" })).status, 200);
    assert.equal(rig.replicas[0]?.connections(), 2);
  });
});

test("a malformed response is answered with 502 and is not passed on", async () => {
  const malformed: RawAnswer = (_request, socket) => {
    socket.write("HTTP/9.9 ???\r\n\r\ngarbage");
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: malformed }] }, async (rig) => {
    const response = await rig.call();
    assert.equal(response.status, 502);
    assert.doesNotMatch(response.body, /garbage/);
  });
});

test("a caller's disconnect closes the connection to the replica", async () => {
  let onClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => onClosed = resolve);
  const route = { kind: RouteKind.streaming, attempts: 1 };
  const slow: RawAnswer = (request, socket) => {
    socket.on("close", () => onClosed());
    socket.write(chunkedHeaders(request) + chunk("id: 1\ndata: a\n\n"));
  };
  await withRig({ route, replicas: [{ answer: slow }] }, async (rig) => {
    const response = rig.call().catch(() => undefined);
    await rig.waitForRequests(1);
    rig.disconnectCaller();
    await closed;
    await response;
  });
});

test("a host that waits for a newer configuration responds 503 instead of 404 for an unknown route", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, "ok"));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const { routes } = rig.context;
    assert.equal((await rig.call({ path: "/new/" })).status, 404);
    routes.noteVersion(2);
    const whileBehind = await rig.call({ path: "/new/" });
    assert.equal(whileBehind.status, 503);
    assert.equal(whileBehind.headers["retry-after"], "0.3");
    assert.match(whileBehind.body, /stale_routes/);
    assert.equal((await rig.call({ path: "/a/" })).status, 200);
    const { config } = routes;
    assert.ok(config);
    const [route] = config.routes;
    assert.ok(route);
    const added = { ...route, name: "new", pathPrefix: "/new/" };
    routes.adopt({ ...config, version: 2, routes: [route, added] });
    assert.equal((await rig.call({ path: "/new/" })).status, 200);
    assert.equal((await rig.call({ path: "/none/" })).status, 404);
  });
});
