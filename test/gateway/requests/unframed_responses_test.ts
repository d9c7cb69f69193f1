/**
 * Responses without a length and without chunks, which end with their
 * connection. Guards against truncated responses that reach callers framed as
 * complete.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { knownRed } from "../../known_red.ts";
import { callRaw, SeenEnding, type SeenResponse } from "../raw_caller.ts";
import {
  chunk,
  chunkedHeaders,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { withRig } from "../rig.ts";

/** Lets the gateway read the written bytes before the connection ends. */
const AFTER_READ_MS = 20;
const STREAMING = { kind: RouteKind.streaming, attempts: 1 };
const RESUMABLE = { kind: RouteKind.streaming, attempts: 2, resumable: true };
const EVENTS = [
  "id: 1\ndata: a\n\n",
  "id: 2\ndata: b\n\n",
  "id: 3\ndata: c\n\n",
];
const STREAM = EVENTS.join("");

const Framing = { none: "none", chunked: "chunked", length: "length" } as const;
type Framing = typeof Framing[keyof typeof Framing];

function unframedHeaders(request: RawRequest): string {
  const id = request.headers.get("x-id") ?? "";
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n\r\n`;
}

/** Sends the text without framing and then ends the connection in order. */
function unframed(text: string): RawAnswer {
  return (request, socket) => {
    socket.write(unframedHeaders(request) + text);
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
}

/** Sends the first bytes of a stream and then ends the connection in order. */
function cutStream(framing: Framing, length: number): RawAnswer {
  if (framing === Framing.none) return unframed(STREAM.slice(0, length));
  return (request, socket) => {
    const part = STREAM.slice(0, length);
    const isWhole = length === STREAM.length;
    const text = framing === Framing.chunked
      ? chunkedHeaders(request) + (part === "" ? "" : chunk(part)) +
        (isWhole ? chunk("") : "")
      : `HTTP/1.1 200 OK\r\nx-id: ${request.headers.get("x-id")}\r\n` +
        `content-length: ${STREAM.length}\r\n\r\n${part}`;
    socket.write(text);
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
}

/** Whether a caller takes the response for complete. */
function looksComplete({ body, ending }: SeenResponse): boolean {
  if (ending === SeenEnding.complete) return true;
  const isAtEventEnd = body === "" || body.endsWith("\n\n");
  return ending === SeenEnding.connection && isAtEventEnd;
}

const INSIDE_EVENT =
  "a stream that ends with its connection inside an event is cut off at the caller";
test(INSIDE_EVENT, knownRed(INSIDE_EVENT), async () => {
  const replicas = [{ answer: unframed(STREAM.slice(0, -3)) }];
  await withRig({ route: STREAMING, replicas }, async (rig) => {
    const response = await callRaw(rig.address);
    assert.equal(response.ending, SeenEnding.truncated);
    const broken = rig.events.find(({ name }) => name === "broken");
    assert.ok(broken, "The log names the response as cut off");
  });
});

const RESUMED =
  "a resumable stream that ends with its connection inside an event goes on at another replica";
test(RESUMED, knownRed(RESUMED), async () => {
  const second: RawAnswer = (request, socket) => {
    assert.equal(request.headers.get("last-event-id"), "2");
    socket.write(chunkedHeaders(request) + chunk(EVENTS[2] ?? "") + chunk(""));
  };
  const replicas = [{ answer: unframed(STREAM.slice(0, -3)) }, {
    answer: second,
  }];
  await withRig({ route: RESUMABLE, replicas }, async (rig) => {
    const response = await callRaw(rig.address);
    assert.equal(response.body, STREAM);
    assert.ok(looksComplete(response));
  });
});

test("a plain response whose end nothing confirms does not reach its caller", async () => {
  const text = '{"a": [1,';
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  const options = { route, replicas: [{ answer: unframed(text) }] };
  await withRig(options, async (rig) => {
    rig.context.paths.monitor.probe = () => Promise.resolve("silent");
    const response = await callRaw(rig.address);
    assert.equal(response.status, 502);
    assert.ok(!response.body.includes(text));
    assert.ok(rig.events.some(({ name }) => name === "endUnconfirmed"));
  });
});

test("a stream without framing is forwarded in chunks", async () => {
  for (const route of [STREAMING, RESUMABLE]) {
    const replicas = [{ answer: unframed(STREAM) }];
    await withRig({ route, replicas }, async (rig) => {
      const response = await callRaw(rig.address);
      assert.equal(response.body, STREAM);
      assert.equal(response.ending, SeenEnding.complete);
    });
  }
});

/** Sends two events without framing and leaves the connection open. */
const twoEvents: RawAnswer = (request, socket) => {
  socket.write(unframedHeaders(request) + EVENTS.slice(0, 2).join(""));
};

test("a stream that ends with its replica behind an event is cut off", async () => {
  await withRig(
    { route: STREAMING, replicas: [{ answer: twoEvents }] },
    async (rig) => {
      const onData = () => rig.replicas[0]?.stop();
      const response = await callRaw(rig.address, { onData });
      assert.equal(response.ending, SeenEnding.truncated);
    },
  );
});

test("a resumable stream that ends with its replica behind an event goes on", async () => {
  const second: RawAnswer = (request, socket) => {
    assert.equal(request.headers.get("last-event-id"), "2");
    socket.write(chunkedHeaders(request) + chunk(EVENTS[2] ?? "") + chunk(""));
  };
  const replicas = [{ answer: twoEvents }, { answer: second }];
  await withRig({ route: RESUMABLE, replicas }, async (rig) => {
    const onData = () => rig.replicas[0]?.stop();
    const { body, ending } = await callRaw(rig.address, { onData });
    assert.deepEqual([body, ending], [STREAM, SeenEnding.complete]);
  });
});

test("a stream without framing is cut off when its host ends", async () => {
  const options = { route: STREAMING, replicas: [{ answer: twoEvents }] };
  await withRig(options, async (rig) => {
    const onData = () => rig.stop();
    const response = await callRaw(rig.address, { onData });
    assert.equal(response.ending, SeenEnding.truncated);
  });
});

const ANY_CUT =
  "a stream cut at any byte, with any framing, is never complete at the caller";
test(ANY_CUT, knownRed(ANY_CUT), async () => {
  const framings = fc.constantFrom(...Object.values(Framing));
  const cuts = fc.nat(STREAM.length);
  const property = fc.asyncProperty(
    framings,
    cuts,
    fc.boolean(),
    async (framing, length, isResumable) => {
      const route = isResumable ? { ...RESUMABLE, attempts: 1 } : STREAMING;
      const replicas = [{ answer: cutStream(framing, length) }];
      await withRig({ route, replicas }, async (rig) => {
        const response = await callRaw(rig.address);
        if (length === STREAM.length) {
          assert.equal(response.body, STREAM);
          assert.ok(looksComplete(response));
          return;
        }
        // A replica that runs may end an unframed stream behind any event.
        const part = STREAM.slice(0, length);
        const isEnd = framing === Framing.none && part.endsWith("\n\n");
        if (isEnd) assert.equal(response.body, part);
        else assert.ok(!looksComplete(response));
      });
    },
  );
  await fc.assert(property, { numRuns: 60 });
});

test("a chunked stream that goes on at an unframed one is whole", async () => {
  const replicas = [
    { answer: cutStream(Framing.chunked, STREAM.length - 3) },
    { answer: unframed(EVENTS[2] ?? "") },
  ];
  await withRig({ route: RESUMABLE, replicas }, async (rig) => {
    const response = await callRaw(rig.address);
    assert.equal(response.body, STREAM);
    assert.equal(response.ending, SeenEnding.complete);
    assert.equal(rig.context.replicas.get("r1")?.failures, 0);
  });
});

test("a stream is recognized whatever the case of its media type", async () => {
  const answer: RawAnswer = (request, socket) => {
    const head = unframedHeaders(request)
      .replace("text/event-stream", "Text/Event-Stream; charset=utf-8");
    socket.write(head + STREAM.slice(0, -3));
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
  const options = { route: STREAMING, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const response = await callRaw(rig.address);
    assert.equal(response.ending, SeenEnding.truncated);
  });
});

test("a compressed stream, whose events can't be told, is not cut off", async () => {
  const compressed = "\x1f\x8b some bytes";
  const answer: RawAnswer = (request, socket) => {
    const head = unframedHeaders(request)
      .replace("\r\n\r\n", "\r\ncontent-encoding: gzip\r\n\r\n");
    socket.write(head + compressed, "latin1");
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
  for (const route of [STREAMING, RESUMABLE]) {
    await withRig({ route, replicas: [{ answer }] }, async (rig) => {
      const response = await callRaw(rig.address);
      assert.equal(response.body, compressed);
      assert.equal(response.ending, SeenEnding.complete);
    });
  }
});

test("a declared stream that ends inside an event is cut off despite its last chunk", async () => {
  const answer: RawAnswer = (request, socket) => {
    const head = chunkedHeaders(request, ["content-type: text/event-stream"]);
    socket.write(head + chunk(STREAM.slice(0, -3)) + chunk(""));
  };
  await withRig({ route: STREAMING, replicas: [{ answer }] }, async (rig) => {
    const response = await callRaw(rig.address);
    assert.equal(response.ending, SeenEnding.truncated);
  });
});

test("a resumed stream is not bound to the length of its first response", async () => {
  const first: RawAnswer = (request, socket) => {
    const id = request.headers.get("x-id");
    const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 100\r\n`;
    socket.write(`${head}\r\n${STREAM.slice(0, -3)}`);
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
  const second = (request: RawRequest, socket: Socket) => {
    socket.write(chunkedHeaders(request) + chunk(EVENTS[2] ?? "") + chunk(""));
  };
  const replicas = [{ answer: first }, { answer: second }];
  await withRig({ route: RESUMABLE, replicas }, async (rig) => {
    const response = await callRaw(rig.address);
    assert.equal(response.body, STREAM);
    assert.equal(response.ending, SeenEnding.complete);
  });
});

test("the id of an event behind a byte order mark is known", async () => {
  const first: RawAnswer = (request, socket) => {
    const text = Buffer.from(`\ufeff${EVENTS[0]}id: 2\nda`);
    socket.write(unframedHeaders(request));
    socket.write(text);
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
  const second: RawAnswer = (request, socket) => {
    assert.equal(request.headers.get("last-event-id"), "1");
    const rest = EVENTS.slice(1).join("");
    socket.write(chunkedHeaders(request) + chunk(rest) + chunk(""));
  };
  const replicas = [{ answer: first }, { answer: second }];
  await withRig({ route: RESUMABLE, replicas }, async (rig) => {
    const response = await callRaw(rig.address);
    assert.ok(response.body.endsWith(STREAM));
    assert.equal(response.body.split("id: 1").length, 2);
  });
});

const OLD_CALLER = "a cut response to an HTTP/1.0 caller ends with a reset";
test(OLD_CALLER, knownRed(OLD_CALLER), async () => {
  const replicas = [{ answer: cutStream(Framing.chunked, STREAM.length - 3) }];
  await withRig({ route: STREAMING, replicas }, async (rig) => {
    const response = await callRaw(rig.address, { version: "1.0" });
    assert.equal(response.status, 200);
    assert.equal(response.ending, SeenEnding.truncated);
  });
});
