/** What a host that stops still takes, and what any host refuses. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { chunk, chunkedHead, type RawAnswer, whole } from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const GRACE_MS = 8000;

/** A decode replica that reserves, and streams one event. */
const decode: RawAnswer = (request, socket) => {
  if (request.path.startsWith("/reserve")) {
    return void socket.write(whole(request, '{"reservation":"m1"}'));
  }
  const events = "id: 1\ndata: a\n\n";
  socket.write(chunkedHead(request) + chunk(events) + chunk(""));
};

function stopFor(rig: Rig, agoMs: number): void {
  rig.context.stop.askedAt = rig.context.clock.now() - agoMs;
  rig.context.stop.graceMs = GRACE_MS;
}

test("a stream that might outlast the grace is not begun", async () => {
  const route = { kind: RouteKind.streaming, attempts: 1 };
  const replicas = [{ answer: decode, stage: "decode" as const }];
  await withRig({ route, engine: ENGINE, replicas }, async (rig) => {
    stopFor(rig, 1000);
    const begun = await rig.call({ id: "1" });
    assert.deepEqual([begun.status, begun.complete], [200, true]);
    assert.equal(begun.headers["connection"], "close");
    // What comes three seconds after the stop must be whole at its end.
    stopFor(rig, 2900);
    const arrived = rig.replicas[0]?.requests.length;
    const refused = await rig.call({ id: "2" });
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers["retry-after"]) < 1);
    assert.equal(rig.replicas[0]?.requests.length, arrived);
  });
});

test("short requests are served until near the end of the grace", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(whole(request, "body"));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    stopFor(rig, 5000);
    assert.equal((await rig.call({ id: "1" })).status, 200);
    stopFor(rig, 7900);
    assert.equal((await rig.call({ id: "2" })).status, 503);
  });
});

test("a body in chunks arrives whole, with a length, its bytes unchanged", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(whole(request, request.body));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const headers = { "transfer-encoding": "chunked" };
    const sent = { method: "POST", headers, body: "a\r\nb" };
    assert.equal((await rig.call(sent)).body, "a\r\nb");
    const arrived = rig.replicas[0]?.requests[0];
    assert.equal(arrived?.headers.get("content-length"), "4");
    assert.equal(arrived?.headers.get("transfer-encoding"), undefined);
  });
});

test("an answer before the body was read ends its connection's use", async () => {
  let first = true;
  const early: RawAnswer = (request, socket) => {
    socket.write(whole(request, "ok", first ? ["connection: close"] : []));
    first = false;
  };
  await withRig({ replicas: [{ answer: early }] }, async (rig) => {
    const body = "x".repeat(100_000);
    assert.equal(
      (await rig.call({ id: "1", method: "POST", body })).status,
      200,
    );
    assert.equal((await rig.call({ id: "2" })).status, 200);
    assert.equal(rig.replicas[0]?.connections(), 2);
  });
});

test("bytes that form no answer are no answer, and are not passed on", async () => {
  const malformed: RawAnswer = (_request, socket) => {
    socket.write("HTTP/9.9 ???\r\n\r\ngarbage");
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: malformed }] }, async (rig) => {
    const seen = await rig.call();
    assert.equal(seen.status, 502);
    assert.doesNotMatch(seen.body, /garbage/);
  });
});

test("a caller that leaves ends its run at the replica", async () => {
  let ended: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => ended = resolve);
  const route = { kind: RouteKind.streaming, attempts: 1 };
  const slow: RawAnswer = (request, socket) => {
    socket.on("close", () => ended());
    socket.write(chunkedHead(request) + chunk("id: 1\ndata: a\n\n"));
  };
  await withRig({ route, replicas: [{ answer: slow }] }, async (rig) => {
    const seen = rig.call().catch(() => undefined);
    await rig.arrived(1);
    rig.leave();
    await closed;
    await seen;
  });
});

test("a host that waits for a newer configuration tells nobody that a route is not there", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(whole(request, "ok"));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const { routes } = rig.context;
    assert.equal((await rig.call({ path: "/new/" })).status, 404);
    routes.noteVersion(2);
    const early = await rig.call({ path: "/new/" });
    assert.equal(early.status, 503);
    assert.equal(early.headers["retry-after"], "0.3");
    assert.match(early.body, /stale_routes/);
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
