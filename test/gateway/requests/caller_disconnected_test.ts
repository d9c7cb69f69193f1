/**
 * When a caller disconnects, at any stage of its request, the gateway sends
 * nothing more for it, aborts its calls and releases its reservations and
 * exports.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import {
  ReplicaStage,
  type Route,
  RouteKind,
} from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, type Rig, type RigOptions, withRig } from "../rig.ts";

const STREAM: Partial<Route> = { kind: RouteKind.streaming, attempts: 2 };

/** Calls that a replica does not complete; it answers all others. */
type Hangs = {
  readonly reserve?: "hang";
  readonly prefill?: "hang";
  readonly decode?: "hang" | "first event";
};

/** A replica that hangs at some stages and reports closed connections. */
function replica(
  hangs: Hangs,
  closed: (stage: string) => void,
): RawAnswer {
  return (request, socket) => {
    const stage = stageOf(request);
    const hang = hangs[stage as keyof Hangs];
    if (hang === undefined) return answer(stage, request, socket);
    socket.on("close", () => closed(stage));
    if (hang === "hang") return;
    socket.write(chunkedHeaders(request) + chunk("id: 1\ndata: a\n\n"));
  };
}

function stageOf({ method, path, headers }: RawRequest): string {
  if (method === "DELETE") return `drop ${path.split("/")[1] ?? ""}`;
  if (path === "/reserve") return "reserve";
  return headers.get("x-mode") === "prefill" ? "prefill" : "decode";
}

function answer(stage: string, request: RawRequest, socket: Socket): void {
  const body = stage === "reserve"
    ? '{"reservation":"r"}'
    : stage === "prefill"
    ? '{"export":"e"}'
    : "id: 1\ndata: a\n\n";
  socket.write(completeResponse(request, body));
}

type Stage = {
  readonly hangs: Hangs;
  /** The call that is open when the caller disconnects. */
  readonly at: string;
};

/** Disconnects the caller during a call; returns all calls to replicas. */
async function disconnectAt({ hangs, at }: Stage): Promise<string[]> {
  let onClosed: () => void = () => undefined;
  const closedStages = new Set<string>();
  const answers = replica(hangs, (stage) => {
    closedStages.add(stage);
    onClosed();
  });
  const options: RigOptions = {
    route: STREAM,
    engine: ENGINE,
    replicas: [
      { answer: answers, stage: ReplicaStage.prefill },
      { answer: answers, stage: ReplicaStage.decode },
    ],
  };
  const calls = (rig: Rig) =>
    rig.replicas.flatMap((replica) => replica.requests).map(stageOf).sort();
  let all: string[] = [];
  await withRig(options, async (rig) => {
    const response = rig.call({ method: "POST", body: "prompt" })
      .catch(() => undefined);
    await until(() => calls(rig).includes(at));
    rig.disconnectCaller();
    await response;
    if (at !== "reserve") {
      await new Promise<void>((resolve) => {
        onClosed = resolve;
        if (closedStages.has(at)) resolve();
      });
    }
    await until(() => rig.events.some((event) => event.name === "callerGone"));
    await until(() => rig.context.replicas.get("r1")?.activeCalls === 0);
    await settle();
    all = calls(rig);
  });
  return all;
}

async function until(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** Waits until everything sent has arrived. */
async function settle(): Promise<void> {
  for (let round = 0; round < 50; round++) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

test("a caller that disconnects during the reservation gets no prefill", async () => {
  const calls = await disconnectAt({
    hangs: { reserve: "hang" },
    at: "reserve",
  });
  assert.deepEqual(calls, ["reserve"]);
});

test("a caller that disconnects during the prefill aborts it and releases the reservation", async () => {
  const calls = await disconnectAt({
    hangs: { prefill: "hang" },
    at: "prefill",
  });
  assert.deepEqual(calls, ["drop reserve", "prefill", "reserve"]);
});

test("a caller that disconnects before its first event aborts the decode", async () => {
  const calls = await disconnectAt({
    hangs: { decode: "hang" },
    at: "decode",
  });
  assert.deepEqual(calls.filter((call) => !call.startsWith("drop")), [
    "decode",
    "prefill",
    "reserve",
  ]);
});

test("a caller that disconnects during its response aborts the decode", async () => {
  const calls = await disconnectAt({
    hangs: { decode: "first event" },
    at: "decode",
  });
  assert.deepEqual(calls.filter((call) => !call.startsWith("drop")), [
    "decode",
    "prefill",
    "reserve",
  ]);
});

test("a request whose caller disconnects during its body is not sent", async () => {
  const answers = replica({}, () => undefined);
  await withRig({ replicas: [{ answer: answers }] }, async (rig) => {
    const [host = "", port = ""] = rig.address.split(":");
    const socket = connect(Number(port), host);
    socket.write(
      "POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n" +
        "Content-Length: 10\r\n\r\nhalf",
    );
    await settle();
    socket.destroy();
    await settle();
    // The host keeps serving: only another caller's request arrives.
    assert.equal((await rig.call({ id: "2" })).status, 200);
    const [request, ...others] = rig.replicas.flatMap((replica) =>
      replica.requests
    );
    assert.equal(request?.headers.get("x-id"), "2");
    assert.equal(others.length, 0);
  });
});

test("a caller that disconnects without reading a large response aborts the call", async () => {
  let closed: () => void = () => undefined;
  const isClosed = new Promise<void>((resolve) => closed = resolve);
  const endless: RawAnswer = (request, socket) => {
    socket.on("close", () => closed());
    socket.write(chunkedHeaders(request));
    const event = chunk(`id: 1\ndata: ${"a".repeat(60_000)}\n\n`);
    const writeAll = () => {
      while (!socket.destroyed && socket.write(event));
    };
    socket.on("drain", writeAll);
    writeAll();
  };
  const route = { ...STREAM, attempts: 1 };
  await withRig({ route, replicas: [{ answer: endless }] }, async (rig) => {
    const [host = "", port = ""] = rig.address.split(":");
    const socket = connect(Number(port), host);
    socket.pause();
    socket.write("GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n\r\n");
    await rig.waitForRequests(1);
    await settle();
    socket.destroy();
    await isClosed;
    const received = rig.replicas[0]?.requests.map((
      { method, path, headers },
    ) => `${method} ${path} ${headers.get("x-id")}`);
    assert.deepEqual(received, ["GET /a/b 1"]);
  });
});
