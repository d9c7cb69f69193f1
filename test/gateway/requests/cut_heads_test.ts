/**
 * Responses that stop in their head, or behind it. Guards against a part of a
 * response that reaches its caller as a whole one, whichever path it takes, and
 * against callers that get the wrong response behind it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ReplicaStage,
  type Route,
  RouteKind,
} from "../../../src/gateway/mod.ts";
import type { HostEntry } from "../../../src/gateway/port.ts";
import {
  allCuts,
  answerCut,
  assertNotWhole,
  chunkedBody,
  type CutResponse,
  CUTS,
  headCuts,
  jsonResponses,
  playAll,
  responseOf,
  sendCut,
} from "../cut_responses.ts";
import { losePath } from "../paths/lose_path.ts";
import { startPeer } from "../paths/test_peer.ts";
import { callRaw, SeenEnding } from "../raw_caller.ts";
import {
  openConnection,
  rawGet,
  statusesIn,
  until,
} from "../raw_connection.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, type Rig, startRig, withRig } from "../rig.ts";
import { healthy } from "./notice_rig.ts";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"] as const;
const [BODY] = EVENTS;
const UNSAFE: Partial<Route> = { kind: RouteKind.unsafe, attempts: 1 };
const STREAM: Partial<Route> = { kind: RouteKind.streaming, attempts: 1 };
const RESUMABLE: Partial<Route> = {
  kind: RouteKind.streaming,
  attempts: 2,
  resumable: true,
};

const idLine = ({ headers }: RawRequest) => `x-id: ${headers.get("x-id")}`;
const LENGTH = `content-length: ${BODY.length}`;
const EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";

type Respond = (request: RawRequest) => CutResponse;
const withLength: Respond = (request) =>
  responseOf([idLine(request), LENGTH], { body: BODY });
const RESPONSES: Readonly<Record<string, Respond>> = {
  length: withLength,
  chunked: (request) =>
    responseOf([idLine(request), "transfer-encoding: chunked"], {
      body: chunkedBody(BODY),
    }),
  unframed: (request) => responseOf([idLine(request)], { body: BODY }),
  "HTTP/1.0": (request) =>
    responseOf([idLine(request)], { body: BODY, version: "1.0" }),
  "early hints": (request) =>
    responseOf([idLine(request), LENGTH], { body: BODY, before: EARLY_HINTS }),
};

/** As the callers of these tests send it. */
const REQUEST: RawRequest = {
  method: "GET",
  path: "/",
  headers: new Map([["x-id", "1"]]),
  body: "",
  number: 1,
};

/** Cuts of which none may look whole: a replica may end an unframed body. */
function cutsOf(respond: Respond): number[] {
  const response = respond(REQUEST);
  return response.isFramed ? allCuts(response) : headCuts(response);
}

/** Starts a rig whose only replica is reached through a peer. */
async function startBehindPeer(
  answer: RawAnswer,
  route: Partial<Route>,
): Promise<Rig> {
  const peers: HostEntry[] = [];
  const rig = await startRig({ route, replicas: [{ answer }], peers });
  const peer = await startPeer(rig.replicas[0]?.address ?? "");
  peers.push({ id: "peer", address: peer.address, hall: "hall" });
  losePath(rig);
  const stop = () => {
    rig.stop();
    peer.stop();
  };
  return { ...rig, stop };
}

const PATHS = {
  directly: (answer: RawAnswer, route: Partial<Route>) =>
    startRig({ route, replicas: [{ answer }] }),
  "through a peer": startBehindPeer,
} as const;

for (const [path, start] of Object.entries(PATHS)) {
  test(`a response that comes ${path} and is cut at any byte is not whole`, async () => {
    for (const [name, respond] of Object.entries(RESPONSES)) {
      for (const route of [UNSAFE, STREAM]) {
        for (const [ending, cut] of Object.entries(CUTS)) {
          await playAll(cutsOf(respond), async (bytes) => {
            const rig = await start(answerCut(respond, { bytes, cut }), route);
            try {
              const label = `${name} ${route.kind} ${ending} ${bytes}`;
              assertNotWhole(await callRaw(rig.address), label);
              assert.equal(rig.replicas[0]?.requests.length, 1, label);
            } finally {
              rig.stop();
            }
          });
        }
      }
    }
  });

  test(`a response that comes ${path} and isn't cut is whole`, async () => {
    for (const [name, respond] of Object.entries(RESPONSES)) {
      for (const route of [UNSAFE, STREAM]) {
        const whole = { bytes: Infinity, cut: CUTS.end };
        const rig = await start(answerCut(respond, whole), route);
        try {
          const { status, body, ending } = await callRaw(rig.address);
          const seen = [status, body, ending];
          assert.deepEqual(seen, [200, BODY, SeenEnding.complete], name);
        } finally {
          rig.stop();
        }
      }
    }
  });
}

/** Starts a rig for streams that go on behind the first event. */
function startResumed(answer: RawAnswer): Promise<Rig> {
  const first: RawAnswer = (request, socket) => {
    socket.end(chunkedHeaders(request) + chunk(EVENTS[0]));
  };
  const replicas = [{ answer: first }, { answer }];
  return startRig({ route: RESUMABLE, replicas });
}

test("a stream that goes on at a response that is cut at any byte is not whole", async () => {
  const respond: Respond = (request) =>
    responseOf([idLine(request), "transfer-encoding: chunked"], {
      body: chunkedBody(EVENTS[1]),
    });
  for (const [ending, cut] of Object.entries(CUTS)) {
    await playAll(allCuts(respond(REQUEST)), async (bytes) => {
      const rig = await startResumed(answerCut(respond, { bytes, cut }));
      try {
        const seen = await callRaw(rig.address);
        const label = `${ending} ${bytes}`;
        assert.equal(seen.status, 200, label);
        assert.equal(seen.ending, SeenEnding.truncated, label);
        assert.equal(rig.replicas[1]?.requests.length, 1, label);
      } finally {
        rig.stop();
      }
    });
  }
});

test("a caller's next response is its own behind one that was cut at any byte", async () => {
  for (const cut of Object.values(CUTS)) {
    await playAll(cutsOf(withLength), async (bytes) => {
      const answer: RawAnswer = (request, socket) => {
        if (request.headers.get("x-id") === "2") {
          return void socket.write(completeResponse(request, "second"));
        }
        sendCut(socket, withLength(request), { bytes, cut });
      };
      const options = { route: UNSAFE, replicas: [{ answer }] };
      await withRig(options, async (rig) => {
        const caller = openConnection(rig.address);
        caller.socket.write(rawGet("1") + rawGet("2", "connection: close"));
        const text = await caller.closed;
        assert.deepEqual(statusesIn(text), ["502", "200"], String(bytes));
        assert.match(text, /x-id: 2\r\n[^]*\r\n\r\nsecond$/);
      });
    });
  }
});

test("a response whose head stops without an end is cut at the deadline", async () => {
  for (const [name, respond] of Object.entries(RESPONSES)) {
    const cuts = headCuts(respond(REQUEST)).filter((bytes) => bytes % 5 === 0);
    await playAll(cuts, async (bytes) => {
      const answer = answerCut(respond, { bytes, cut: () => undefined });
      const options = { route: UNSAFE, replicas: [{ answer }] };
      await withRig(options, async (rig) => {
        const headers = ["x-patience: 100"];
        const seen = await callRaw(rig.address, { headers });
        assert.equal(seen.status, 504, `${name} ${bytes}`);
        await until(() => rig.replicas[0]?.openConnections() === 0);
      });
    });
  }
});

const EXPORT = '{"export":"e","tokens":1,"version":1}';

/** Sends a stream; returns the export that its decode replica was handed. */
async function exportAfter(answer: RawAnswer): Promise<string | undefined> {
  const rig = await startRig({
    engine: ENGINE,
    route: { kind: RouteKind.streaming },
    replicas: [
      { answer: healthy, stage: ReplicaStage.decode },
      { answer, stage: ReplicaStage.prefill },
    ],
  });
  try {
    await rig.call({ method: "POST", headers: { "x-tokens": "10,10" } });
    const [decode, prefill] = rig.replicas;
    assert.equal(prefill?.requests.length, 1);
    const sent = decode?.requests.filter(({ path }) => path === "/a/b");
    assert.equal(sent?.length, 1);
    return sent?.[0]?.headers.get("x-export");
  } finally {
    rig.stop();
  }
}

test("a prefill whose response is cut at any byte hands over no memory", async () => {
  for (const { head, body, isFramed } of jsonResponses(EXPORT)) {
    const respond: Respond = (request) => ({
      head: head.replace("\r\n", `\r\n${idLine(request)}\r\n`),
      body,
      isFramed,
    });
    await playAll(allCuts(respond(REQUEST)), async (bytes) => {
      const answer = answerCut(respond, { bytes, cut: CUTS.end });
      assert.equal(await exportAfter(answer), undefined, `${head} ${bytes}`);
    });
    const whole = { bytes: Infinity, cut: CUTS.end };
    assert.equal(await exportAfter(answerCut(respond, whole)), "e", head);
  }
});
