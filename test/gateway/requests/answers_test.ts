/** Whole answers and own answers, against replicas that spoil them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { chunk, chunkedHead, whole } from "../raw_replica.ts";
import type { RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";

/** Lets what was written be read first: a reset overtakes unread bytes. */
const AFTER_READ_MS = 50;

const sound: RawAnswer = (request, socket) => {
  socket.write(whole(request, "whole"));
};

test("an answer is passed on unchanged, without its connection's headers", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(
      whole(request, "body", ["X-Seal: s", "Keep-Alive: timeout=9"]),
    );
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const seen = await rig.call();
    assert.equal(seen.status, 200);
    assert.equal(seen.body, "body");
    assert.equal(seen.headers["x-seal"], "s");
    assert.notEqual(seen.headers["keep-alive"], "timeout=9");
  });
});

test("a Connection header can't take out what both ends need", async () => {
  const answer: RawAnswer = (request, socket) => {
    const extra = ["X-Seal: s", "X-Hop: h", "Connection: X-Seal, X-Hop"];
    socket.write(whole(request, "body", extra));
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const headers = { connection: "x-id, x-hop", "x-hop": "h" };
    const seen = await rig.call({ headers });
    assert.equal(seen.status, 200);
    assert.equal(seen.headers["x-seal"], "s");
    assert.equal(seen.headers["x-hop"], undefined);
    assert.equal(rig.replicas[0]?.requests[0]?.headers.has("x-hop"), false);
  });
});

test("a body without a length that is reset does not look complete", async () => {
  const cut: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\npart`;
    socket.write(head);
    setTimeout(() => socket.resetAndDestroy(), AFTER_READ_MS);
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: cut }] }, async (rig) => {
    const seen = await rig.call();
    assert.equal(seen.status, 502);
  });
  const streaming = { kind: RouteKind.streaming, attempts: 1 };
  const source = { route: streaming, replicas: [{ answer: cut }] };
  await withRig(source, async (rig) => {
    const seen = await rig.call().catch(() => ({ complete: false }));
    assert.equal(seen.complete, false);
  });
});

test("a reset right behind the last bytes is not taken for an end", async () => {
  const cut: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\npart`;
    socket.write(head, () => setImmediate(() => socket.resetAndDestroy()));
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: cut }] }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
  });
});

test("a body without a length that ends is whole", async () => {
  const answer: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\nall`);
  };
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const seen = await rig.call();
    assert.deepEqual([seen.body, seen.complete], ["all", true]);
  });
});

test("a cut answer of a safe route is fetched again elsewhere", async () => {
  const cut: RawAnswer = (request, socket) => {
    socket.end(whole(request, "whole").slice(0, -2));
  };
  const replicas = [{ answer: cut }, { answer: sound }];
  await withRig({ replicas }, async (rig) => {
    const seen = await rig.call();
    assert.deepEqual([seen.status, seen.body], [200, "whole"]);
  });
});

test("a plain replica that cut an answer isn't sent the request again", async () => {
  const cut: RawAnswer = (request, socket) => {
    socket.end(whole(request, "whole").slice(0, -2));
  };
  const route = { attempts: 4 };
  const replicas = [{ answer: cut }, { answer: cut }];
  await withRig({ route, replicas }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
    const arrivals = rig.replicas.map((one) => one.requests.length);
    assert.deepEqual(arrivals, [1, 1]);
  });
});

test("an answer goes on when its replica is listed no more", async () => {
  let finish = () => {};
  const slow: RawAnswer = (request, socket) => {
    const text = whole(request, "whole");
    socket.write(text.slice(0, -2));
    finish = () => socket.write(text.slice(-2));
  };
  await withRig({ replicas: [{ answer: slow }] }, async (rig) => {
    const seen = rig.call();
    await rig.arrived(1);
    rig.context.replicas.adopt({ revision: 2, entries: [] });
    rig.context.pool.forget("r0");
    finish();
    assert.equal((await seen).body, "whole");
  });
});

test("a surplus answer is never taken for the next request's", async () => {
  const surplus: RawAnswer = (request, socket) => {
    if (request.number === 1) {
      socket.write(whole(request, "first"));
      return;
    }
    const late = new Map(request.headers).set("x-id", "1");
    socket.write(whole({ ...request, headers: late }, "surplus"));
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: surplus }] }, async (rig) => {
    assert.equal((await rig.call({ id: "1" })).body, "first");
    const seen = await rig.call({ id: "2" });
    assert.equal(seen.status, 502);
    assert.ok(rig.events.some((one) => one.name === "crossed"));
  });
});

test("a refusal that doesn't say 'not run' is no promise", async () => {
  const refuse: RawAnswer = (_request, socket) => {
    socket.write("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n");
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer: refuse }] }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
  });
});

test("a request that a replica did not run is refused with a time", async () => {
  const refuse: RawAnswer = (_request, socket) => {
    socket.write(
      "HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    );
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  const budget = { ratio: 0, extra: 0 };
  const source = { route, budget, replicas: [{ answer: refuse }] };
  await withRig(source, async (rig) => {
    const seen = await rig.call();
    assert.equal(seen.status, 503);
    assert.ok(Number(seen.headers["retry-after"]) > 0);
  });
});

test("what never reached a replica goes elsewhere without budget", async () => {
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  const budget = { ratio: 0, extra: 0 };
  const replicas = [{ answer: sound }, { answer: sound }];
  await withRig({ route, budget, replicas }, async (rig) => {
    // The least loaded replica is tried first: the first where all are equal.
    rig.replicas[0]?.stop();
    const seen = await rig.call();
    assert.deepEqual([seen.status, seen.body], [200, "whole"]);
    assert.equal(rig.replicas[1]?.requests.length, 1);
  });
});

test("an unsafe request whose connection broke is not sent again", async () => {
  const reset: RawAnswer = (_request, socket) => socket.resetAndDestroy();
  const route = { kind: RouteKind.unsafe, attempts: 3 };
  const replicas = [{ answer: reset }, { answer: reset }];
  await withRig({ route, replicas }, async (rig) => {
    assert.equal((await rig.call()).status, 502);
    const arrived = rig.replicas.flatMap((one) => one.requests);
    assert.equal(arrived.length, 1);
  });
});

test("a broken resumable stream goes on after its last whole event", async () => {
  const first: RawAnswer = (request, socket) => {
    const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    socket.write(
      chunkedHead(request) + chunk(events),
      () => setImmediate(() => socket.destroy()),
    );
  };
  const second: RawAnswer = (request, socket) => {
    assert.equal(request.headers.get("last-event-id"), "2");
    const events = "id: 3\ndata: c\n\n";
    socket.write(chunkedHead(request) + chunk(events) + chunk(""));
  };
  const route = { kind: RouteKind.streaming, resumable: true };
  const replicas = [{ answer: first }, { answer: second }];
  await withRig({ route, replicas }, async (rig) => {
    const seen = await rig.call();
    const all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert.deepEqual([seen.body, seen.complete], [all, true]);
  });
});

test("what only the system sets is taken out of a caller's request", async () => {
  await withRig({ replicas: [{ answer: sound }] }, async (rig) => {
    await rig.call({ headers: { "x-mode": "prefill", "x-own": "1" } });
    const headers = rig.replicas[0]?.requests[0]?.headers;
    assert.equal(headers?.get("x-mode"), undefined);
    assert.equal(headers?.get("x-own"), "1");
    assert.equal(headers?.get("x-incarnation"), "r0");
  });
});
