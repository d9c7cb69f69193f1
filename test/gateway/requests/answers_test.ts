/** Responses from replicas that truncate, mix up or refuse them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { chunk, chunkedHeaders, completeResponse } from "../raw_replica.ts";
import type { RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";

/** Lets the gateway read the written bytes, which a reset would discard. */
const AFTER_READ_MS = 50;

const healthy: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "whole"));
};

test("a response is forwarded unchanged, without hop-by-hop headers", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(
      completeResponse(request, "body", ["X-Seal: s", "Keep-Alive: timeout=9"]),
    );
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const response = await rig.call();
    assert.equal(response.status, 200);
    assert.equal(response.body, "body");
    assert.equal(response.headers["x-seal"], "s");
    assert.notEqual(response.headers["keep-alive"], "timeout=9");
  });
});

test("a Connection header cannot remove end-to-end headers", async () => {
  const answer: RawAnswer = (request, socket) => {
    const extra = ["X-Seal: s", "X-Hop: h", "Connection: X-Seal, X-Hop"];
    socket.write(completeResponse(request, "body", extra));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const headers = { connection: "x-id, x-hop", "x-hop": "h" };
    const response = await rig.call({ headers });
    assert.equal(response.status, 200);
    assert.equal(response.headers["x-seal"], "s");
    assert.equal(response.headers["x-hop"], undefined);
    assert.equal(rig.replicas[0]?.requests[0]?.headers.has("x-hop"), false);
  });
});

test("a body without a length is incomplete after a reset", async () => {
  const interrupts: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    const text = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\npart`;
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), AFTER_READ_MS);
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: interrupts }] }, async (rig) => {
    const response = await rig.call();
    assert.equal(response.status, 502);
  });
  const streaming = { kind: RouteKind.streaming, attempts: 1 };
  const options = { route: streaming, replicas: [{ answer: interrupts }] };
  await withRig(options, async (rig) => {
    const response = await rig.call().catch(() => ({ complete: false }));
    assert.equal(response.complete, false);
  });
});

test("a reset right after the last bytes is not treated as the end of the body", async () => {
  const interrupts: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    const text = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\npart`;
    socket.write(text, () => setImmediate(() => socket.resetAndDestroy()));
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: interrupts }] }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
  });
});

test("a reset right after the last bytes is recognized when the headers came before", async () => {
  const interrupts: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n`);
    const reset = () => socket.resetAndDestroy();
    setTimeout(() => socket.write("part", reset), AFTER_READ_MS);
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: interrupts }] }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
  });
});

test("a body without a length is complete when the connection ends", async () => {
  const answer: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\nall`);
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const response = await rig.call();
    assert.deepEqual([response.body, response.complete], ["all", true]);
  });
});

test("an interrupted response on a safe route is retried at another replica", async () => {
  const interrupts: RawAnswer = (request, socket) => {
    socket.end(completeResponse(request, "whole").slice(0, -2));
  };
  const replicas = [{ answer: interrupts }, { answer: healthy }];
  await withRig({ replicas }, async (rig) => {
    const response = await rig.call();
    assert.deepEqual([response.status, response.body], [200, "whole"]);
  });
});

test("a plain replica that interrupted a response does not receive the retry", async () => {
  const interrupts: RawAnswer = (request, socket) => {
    socket.end(completeResponse(request, "whole").slice(0, -2));
  };
  const route = { attempts: 4 };
  const replicas = [{ answer: interrupts }, { answer: interrupts }];
  await withRig({ route, replicas }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
    const arrivals = rig.replicas.map((replica) => replica.requests.length);
    assert.deepEqual(arrivals, [1, 1]);
  });
});

test("a response continues after its replica is removed from the listing", async () => {
  let finish = () => {};
  const slow: RawAnswer = (request, socket) => {
    const text = completeResponse(request, "whole");
    socket.write(text.slice(0, -2));
    finish = () => socket.write(text.slice(-2));
  };
  await withRig({ replicas: [{ answer: slow }] }, async (rig) => {
    const response = rig.call();
    await rig.waitForRequests(1);
    rig.context.replicas.adopt({ revision: 2, entries: [] });
    rig.context.pool.removeReplica("r0");
    finish();
    assert.equal((await response).body, "whole");
  });
});

test("a surplus response is not treated as the response to the next request", async () => {
  const surplus: RawAnswer = (request, socket) => {
    if (request.number === 1) {
      socket.write(completeResponse(request, "first"));
      return;
    }
    const otherHeaders = new Map(request.headers).set("x-id", "1");
    socket.write(
      completeResponse({ ...request, headers: otherHeaders }, "surplus"),
    );
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: surplus }] }, async (rig) => {
    assert.equal((await rig.call({ id: "1" })).body, "first");
    const response = await rig.call({ id: "2" });
    assert.equal(response.status, 502);
    assert.ok(rig.events.some((event) => event.name === "crossed"));
  });
});

test("a refusal without a not-run header counts as possibly run", async () => {
  const refuses: RawAnswer = (_request, socket) => {
    socket.write("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n");
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: refuses }] }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
  });
});

test("a request that a replica did not run is refused with a Retry-After", async () => {
  const refuses: RawAnswer = (_request, socket) => {
    socket.write(
      "HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    );
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  const budget = { ratio: 0, extra: 0 };
  const options = { route, budget, replicas: [{ answer: refuses }] };
  await withRig(options, async (rig) => {
    const response = await rig.call();
    assert.equal(response.status, 503);
    assert.ok(Number(response.headers["retry-after"]) > 0);
  });
});

test("a request that never reached a replica is resent without budget", async () => {
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  const budget = { ratio: 0, extra: 0 };
  const replicas = [{ answer: healthy }, { answer: healthy }];
  await withRig({ route, budget, replicas }, async (rig) => {
    // With equal loads, the first replica is tried first.
    rig.replicas[0]?.stop();
    const response = await rig.call();
    assert.deepEqual([response.status, response.body], [200, "whole"]);
    assert.equal(rig.replicas[1]?.requests.length, 1);
  });
});

test("an unsafe request is not resent after its connection broke", async () => {
  const resets: RawAnswer = (_request, socket) => socket.resetAndDestroy();
  const route = { kind: RouteKind.unsafe, attempts: 3 };
  const replicas = [{ answer: resets }, { answer: resets }];
  await withRig({ route, replicas }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
    const arrived = rig.replicas.flatMap((replica) => replica.requests);
    assert.equal(arrived.length, 1);
  });
});

test("an interrupted resumable stream continues after its last complete event", async () => {
  const first: RawAnswer = (request, socket) => {
    const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    socket.write(
      chunkedHeaders(request) + chunk(events),
      () => setImmediate(() => socket.destroy()),
    );
  };
  const second: RawAnswer = (request, socket) => {
    assert.equal(request.headers.get("last-event-id"), "2");
    const events = "id: 3\ndata: c\n\n";
    socket.write(chunkedHeaders(request) + chunk(events) + chunk(""));
  };
  const route = { kind: RouteKind.streaming, resumable: true };
  const replicas = [{ answer: first }, { answer: second }];
  await withRig({ route, replicas }, async (rig) => {
    const response = await rig.call();
    const all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert.deepEqual([response.body, response.complete], [all, true]);
  });
});

test("headers reserved for the gateway are removed from a caller's request", async () => {
  await withRig({ replicas: [{ answer: healthy }] }, async (rig) => {
    await rig.call({ headers: { "x-mode": "prefill", "x-own": "1" } });
    const headers = rig.replicas[0]?.requests[0]?.headers;
    assert.equal(headers?.get("x-mode"), undefined);
    assert.equal(headers?.get("x-own"), "1");
    assert.equal(headers?.get("x-incarnation"), "r0");
  });
});

test("a plain response that was sent in part is not followed by a second one", async () => {
  // More than the gateway buffers, so that its beginning is sent at once.
  const part = "x".repeat(300 * 1024);
  const interrupts: RawAnswer = (request, socket) => {
    socket.write(chunkedHeaders(request) + chunk(part));
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
  const replicas = [{ answer: interrupts }, { answer: healthy }];
  await withRig({ replicas }, async (rig) => {
    const response = await rig.call();
    assert.equal(response.complete, false);
    assert.equal(response.body, part);
    assert.equal(rig.replicas[1]?.requests.length, 0);
  });
});
