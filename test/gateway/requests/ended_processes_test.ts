/**
 * Responses whose replica or host ends before they do. Guards against
 * parts of responses that look whole: the operating system closes the
 * connections of a process that was killed in order.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReplicaEntry, RouteKind } from "../../../src/gateway/mod.ts";
import { knownRed } from "../../known_red.ts";
import { callRaw, SeenEnding, type SeenResponse } from "../raw_caller.ts";
import {
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { type Rig, startRig, withRig } from "../rig.ts";

const PART = "half of a bo";
const WHOLE = "half of a body and the rest of it";
const EVENT = "id: 1\ndata: a\n\n";
/** More than a host buffers of a plain response. */
const LARGE_PART = "x".repeat(300 * 1024);
/** Lets the gateway read the written bytes before the process ends. */
const AFTER_READ_MS = 20;
const PLAIN_KINDS = [RouteKind.safe, RouteKind.unsafe];

function unframedHead(request: RawRequest, type = "text/plain"): string {
  const id = request.headers.get("x-id") ?? "";
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: ${type}\r\n\r\n`;
}

const WHOLE_ELSEWHERE: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, WHOLE));
};

/** A response that is cut, and how its route may retry. */
type CutOptions = {
  readonly part: string;
  readonly kind: RouteKind;
  readonly version?: "1.0" | "1.1";
  readonly attempts?: number;
  /** Responds to a retry. */
  readonly second?: RawAnswer;
};

/** Calls a host whose first replica ends behind a part of its response. */
async function callCut(
  { part, kind, version, attempts = 1, second }: CutOptions,
): Promise<SeenResponse> {
  const first: RawAnswer = (request, socket) => {
    socket.write(unframedHead(request) + part);
    setTimeout(() => rig.replicas[0]?.stop(), AFTER_READ_MS);
  };
  const answers = second ? [first, second] : [first];
  const rig = await startRig({
    route: { kind, attempts },
    replicas: answers.map((answer) => ({ answer })),
  });
  try {
    return await callRaw(rig.address, version ? { version } : {});
  } finally {
    rig.stop();
  }
}

const UNSAFE_CUT =
  "a plain response that ends with its replica is an unknown outcome";
test(UNSAFE_CUT, knownRed(UNSAFE_CUT), async () => {
  for (const kind of PLAIN_KINDS) {
    for (const version of ["1.0", "1.1"] as const) {
      const response = await callCut({ part: PART, kind, version });
      assert.equal(response.status, 502, `${kind} ${version}`);
      assert.doesNotMatch(response.body, new RegExp(PART));
    }
  }
});

const SAFE_CUT =
  "a safe plain response that ends with its replica is fetched elsewhere";
test(SAFE_CUT, knownRed(SAFE_CUT), async () => {
  const kind = RouteKind.safe;
  const options = { part: PART, kind, attempts: 2, second: WHOLE_ELSEWHERE };
  const response = await callCut(options);
  assert.deepEqual([response.status, response.body], [200, WHOLE]);
});

const LARGE_CUT =
  "a plain response too large to buffer that ends with its replica is broken off";
test(LARGE_CUT, knownRed(LARGE_CUT), async () => {
  for (const kind of PLAIN_KINDS) {
    for (const version of ["1.0", "1.1"] as const) {
      const response = await callCut({ part: LARGE_PART, kind, version });
      assert.equal(response.ending, SeenEnding.truncated, `${kind} ${version}`);
    }
  }
});

/** The listing says that all replicas drain. */
function drainAll({ context: { replicas } }: Rig): void {
  const entries = replicas.entries()
    .map((entry: ReplicaEntry) => ({ ...entry, leaving: true }));
  replicas.adopt({ revision: 2, entries });
}

/** Calls a host whose replica drains and ends an unframed stream. */
async function callDraining(end: (rig: Rig) => void): Promise<SeenResponse> {
  const answer: RawAnswer = (request, socket) => {
    socket.write(unframedHead(request, "text/event-stream") + EVENT);
    setTimeout(() => {
      drainAll(rig);
      end(rig);
      socket.end();
    }, AFTER_READ_MS);
  };
  const route = { kind: RouteKind.streaming, attempts: 1 };
  const rig = await startRig({ route, replicas: [{ answer }] });
  try {
    return await callRaw(rig.address);
  } finally {
    rig.stop();
  }
}

const DRAINING_CUT =
  "a stream that ends with its draining replica behind an event is broken off";
test(DRAINING_CUT, knownRed(DRAINING_CUT), async () => {
  const response = await callDraining(({ replicas }) => replicas[0]?.stop());
  assert.equal(response.ending, SeenEnding.truncated);
});

test("a stream that ends while its draining replica listens is complete", async () => {
  const response = await callDraining(() => undefined);
  assert.equal(response.ending, SeenEnding.complete);
  assert.equal(response.body, EVENT);
});

/** Sends a whole body without framing; the replica goes on running. */
function unframed(body: string): RawAnswer {
  return (request, socket) => {
    socket.write(unframedHead(request) + body);
    setTimeout(() => socket.end(), AFTER_READ_MS);
  };
}

const FRAMED =
  "plain responses are framed for callers, so that none ends with its host";
test(FRAMED, knownRed(FRAMED), async () => {
  for (const body of ["", WHOLE, LARGE_PART]) {
    for (const kind of PLAIN_KINDS) {
      const replicas = [{ answer: unframed(body) }];
      const route = { kind, attempts: 1 };
      await withRig({ route, replicas }, async (rig) => {
        const response = await callRaw(rig.address);
        assert.equal(response.body, body);
        assert.equal(response.ending, SeenEnding.complete);
      });
    }
  }
});

const HOST_END = "a plain response that ends with its host is broken off";
test(HOST_END, knownRed(HOST_END), async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(unframedHead(request) + LARGE_PART);
  };
  const route = { kind: RouteKind.unsafe, attempts: 1 };
  await withRig({ route, replicas: [{ answer }] }, async (rig) => {
    const onData = () => rig.callers.server.closeAllConnections();
    const response = await callRaw(rig.address, { onData });
    assert.equal(response.ending, SeenEnding.truncated);
  });
});
