/**
 * When a caller leaves, nothing more goes to a replica for it, what runs there
 * ends, and what was held there is let go, at whatever stage the request is.
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
  chunkedHead,
  type RawAnswer,
  type RawRequest,
  whole,
} from "../raw_replica.ts";
import { ENGINE, type Rig, type RigSource, withRig } from "../rig.ts";

const STREAM: Partial<Route> = { kind: RouteKind.streaming, attempts: 2 };

/** What a replica does with each kind of call; what is absent is answered. */
type Silences = {
  readonly reserve?: "silent";
  readonly prefill?: "silent";
  readonly decode?: "silent" | "first event";
};

/** A replica that is silent at some stage, and tells when its caller closes. */
function replica(
  silences: Silences,
  closed: (stage: string) => void,
): RawAnswer {
  return (request, socket) => {
    const stage = stageOf(request);
    const silence = silences[stage as keyof Silences];
    if (silence === undefined) return answer(stage, request, socket);
    socket.on("close", () => closed(stage));
    if (silence === "silent") return;
    socket.write(chunkedHead(request) + chunk("id: 1\ndata: a\n\n"));
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
  socket.write(whole(request, body));
}

type Stage = {
  readonly silences: Silences;
  /** The call that is open when the caller leaves. */
  readonly at: string;
};

/** The caller leaves while a call is open; gives all calls in the end. */
async function leaveAt({ silences, at }: Stage): Promise<string[]> {
  let reached: () => void = () => undefined;
  const closings = new Set<string>();
  const answers = replica(silences, (stage) => {
    closings.add(stage);
    reached();
  });
  const source: RigSource = {
    route: STREAM,
    engine: ENGINE,
    replicas: [
      { answer: answers, stage: ReplicaStage.prefill },
      { answer: answers, stage: ReplicaStage.decode },
    ],
  };
  const calls = (rig: Rig) =>
    rig.replicas.flatMap((one) => one.requests).map(stageOf).sort();
  let all: string[] = [];
  await withRig(source, async (rig) => {
    const seen = rig.call({ method: "POST", body: "prompt" })
      .catch(() => undefined);
    await until(() => calls(rig).includes(at));
    rig.leave();
    await seen;
    if (at !== "reserve") {
      await new Promise<void>((resolve) => {
        reached = resolve;
        if (closings.has(at)) resolve();
      });
    }
    await until(() => rig.events.some((one) => one.name === "callerGone"));
    await until(() => rig.context.replicas.get("r1")?.calls === 0);
    await settle();
    all = calls(rig);
  });
  return all;
}

async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** Lets what was sent arrive: more rounds of the loop than any chain of it. */
async function settle(): Promise<void> {
  for (let round = 0; round < 50; round++) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

test("a caller that leaves while memory is reserved gets no prefill", async () => {
  const calls = await leaveAt({
    silences: { reserve: "silent" },
    at: "reserve",
  });
  assert.deepEqual(calls, ["reserve"]);
});

test("a caller that leaves while its prompt is read ends that, and holds nothing", async () => {
  const calls = await leaveAt({
    silences: { prefill: "silent" },
    at: "prefill",
  });
  assert.deepEqual(calls, ["drop reserve", "prefill", "reserve"]);
});

test("a caller that leaves before its first event ends the run", async () => {
  const calls = await leaveAt({
    silences: { decode: "silent" },
    at: "decode",
  });
  assert.deepEqual(calls.filter((one) => !one.startsWith("drop")), [
    "decode",
    "prefill",
    "reserve",
  ]);
});

test("a caller that leaves in the middle of its answer ends the run", async () => {
  const calls = await leaveAt({
    silences: { decode: "first event" },
    at: "decode",
  });
  assert.deepEqual(calls.filter((one) => !one.startsWith("drop")), [
    "decode",
    "prefill",
    "reserve",
  ]);
});

test("a caller that leaves in the middle of its body is sent nowhere", async () => {
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
    // The host goes on: another caller's request is the only one that arrives.
    assert.equal((await rig.call({ id: "2" })).status, 200);
    const [only, ...more] = rig.replicas.flatMap((one) => one.requests);
    assert.equal(only?.headers.get("x-id"), "2");
    assert.equal(more.length, 0);
  });
});

test("a caller that reads nothing and leaves ends the run, however much is unread", async () => {
  let closed: () => void = () => undefined;
  const isClosed = new Promise<void>((resolve) => closed = resolve);
  const endless: RawAnswer = (request, socket) => {
    socket.on("close", () => closed());
    socket.write(chunkedHead(request));
    const event = chunk(`id: 1\ndata: ${"a".repeat(60_000)}\n\n`);
    const go = () => {
      while (!socket.destroyed && socket.write(event));
    };
    socket.on("drain", go);
    go();
  };
  const route = { ...STREAM, attempts: 1 };
  await withRig({ route, replicas: [{ answer: endless }] }, async (rig) => {
    const [host = "", port = ""] = rig.address.split(":");
    const socket = connect(Number(port), host);
    socket.pause();
    socket.write("GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n\r\n");
    await rig.arrived(1);
    await settle();
    socket.destroy();
    await isClosed;
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});
