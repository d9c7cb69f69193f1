/**
 * A stopping host and callers who read slowly. Guards against responses that are
 * logged as answered and cut off when the host closes its idle connections.
 */
import assert from "node:assert/strict";
import { type EventEmitter, once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

const ROUTE = { kind: RouteKind.unsafe, attempts: 1 };
/** Below the size up to which a response is buffered until it is complete. */
const BODY = "a".repeat(200_000);
/** Enough to fill the buffers of a connection over loopback. */
const REQUESTS = 100;
/** From a caller that knows no chunks. */
const OLD_REQUEST = "GET /a/b HTTP/1.0\r\nHost: example\r\nx-id: 1\r\n\r\n";
const REQUEST = "GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n\r\n";
/** Lets a stopping host check its connections more than once. */
const SEVERAL_CHECKS_MS = 200;
/** Responses that are sent at all are sent sooner over loopback. */
const UNSENT_AFTER_MS = 100;
/** Requests that wait behind another one on their connection. */
const PIPELINED = 3;

const framed: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, BODY));
};

/** Never ends, without framing. */
const endless: RawAnswer = (request, socket) => {
  const id = request.headers.get("x-id");
  socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n`);
  const writeAll = () => {
    while (!socket.destroyed && socket.write(BODY));
  };
  socket.on("drain", writeAll);
  writeAll();
};

/** Opens a connection whose caller doesn't read yet. */
function connectTo({ address }: Rig): Socket {
  const [host = "", port] = address.split(":");
  const caller = connect(Number(port), host);
  caller.pause();
  caller.on("error", () => undefined);
  return caller;
}

/** Resolves when a response has ended and some of its bytes are unsent. */
async function fillConnection(rig: Rig): Promise<Socket> {
  const connected = once(rig.callers.server, "connection");
  const caller = connectTo(rig);
  caller.write(REQUEST.repeat(REQUESTS));
  const [accepted] = await connected as [Socket];
  while (!isUnsent(rig, accepted)) await nextTurn();
  return caller;
}

function isUnsent(rig: Rig, accepted: Socket): boolean {
  const answered = rig.events.filter(({ name }) => name === "answered").length;
  const [replica] = rig.replicas;
  return answered === replica?.requests.length && accepted.writableLength > 0;
}

/**
 * Sends one request after the other until the last bytes of a response stay
 * unsent; returns the caller and the number of responses.
 */
async function fillInTurn(
  rig: Rig,
): Promise<{ readonly caller: Socket; readonly responses: number }> {
  const connected = once(rig.callers.server, "connection");
  const caller = connectTo(rig);
  await connected;
  for (let responses = 1;; responses++) {
    let isSent = false;
    const finished = once(rig.callers.server, "request")
      .then(([, response]) => once(response as EventEmitter, "finish"))
      .then(() => isSent = true);
    caller.write(REQUEST.replace("x-id: 1", `x-id: ${responses}`));
    while (answeredIn(rig) < responses) await nextTurn();
    await Promise.race([finished, sleep(UNSENT_AFTER_MS)]);
    // Timers come before what the connection reports in the same iteration.
    await nextTurn();
    if (!isSent) return { caller, responses };
  }
}

function answeredIn({ events }: Rig): number {
  return events.filter(({ name }) => name === "answered").length;
}

/** The requests that the host names as unfinished, and their states. */
function unfinishedIn({ events }: Rig): unknown[] {
  return events.filter(({ name }) => name === "unfinished")
    .map(({ fields }) => fields as Record<string, unknown>)
    .map(({ request, state }) => [request, state]);
}

/** Keeps this thread busy until `until`. */
function work(until: number): void {
  while (performance.now() < until);
}

type Received = { readonly text: string; readonly isReset: boolean };

function received(caller: Socket): Promise<Received> {
  return new Promise((resolve) => {
    let text = "";
    let isReset = false;
    caller.on("data", (bytes) => text += bytes.toString("latin1"));
    caller.on("error", () => isReset = true);
    caller.on("end", () => isReset ||= caller.remoteAddress === undefined);
    caller.on("close", () => resolve({ text, isReset }));
    caller.resume();
  });
}

/** How the requests that were not answered ended. */
function endingsIn({ events }: Rig): unknown[] {
  return events
    .filter(({ name }) => ["broken", "failed", "refused"].includes(name))
    .map(({ name, fields }) => [name, "error" in fields && fields.error]);
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Number of complete bodies, and of bytes behind the last one. */
function bodiesIn(text: string): { complete: number; rest: number } {
  const bodies = text.split(/HTTP\/1.1 200 OK(?:\r\n[^\r\n]+)+\r\n\r\n/);
  const complete = bodies.filter((body) => body === BODY).length;
  return { complete, rest: (bodies.at(-1)?.length ?? 0) % BODY.length };
}

test("a stopping host sends the last bytes of responses that have ended", async () => {
  const options = { route: ROUTE, replicas: [{ answer: framed }] };
  await withRig(options, async (rig) => {
    const { clock, stop } = rig.context;
    const caller = await fillConnection(rig);
    stop.requestedAt = clock.now();
    const deadline = clock.now() + TEST_TIMEOUT_MS;
    const drained = rig.callers.drain(clock, deadline);
    await sleep(SEVERAL_CHECKS_MS);
    const { text } = await received(caller);
    await drained;
    const answered = rig.events.filter(({ name }) => name === "answered");
    assert.deepEqual(bodiesIn(text), { complete: answered.length, rest: 0 });
  });
});

test("what a stopping host can't send of a response is reset if it has no framing", async () => {
  const options = { route: ROUTE, replicas: [{ answer: endless }] };
  await withRig(options, async (rig) => {
    const { clock } = rig.context;
    const connected = once(rig.callers.server, "connection");
    const caller = connectTo(rig);
    caller.write(OLD_REQUEST);
    const [accepted] = await connected as [Socket];
    while (accepted.writableLength === 0) await nextTurn();
    await rig.callers.drain(clock, clock.now() + SEVERAL_CHECKS_MS);
    assert.ok(accepted.destroyed);
    const { isReset } = await received(caller);
    assert.ok(isReset, "The end of the response is an orderly one");
    assert.deepEqual(endingsIn(rig), [["broken", "outcome_unknown"]]);
  });
});

test("a stopping host answers what still runs when its time is over", async () => {
  const answer: RawAnswer = () => undefined;
  const options = { route: ROUTE, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const { clock } = rig.context;
    const response = rig.call();
    await rig.waitForRequests(1);
    await rig.callers.drain(clock, clock.now());
    assert.equal((await response).status, 502);
    assert.deepEqual(endingsIn(rig), [["failed", "outcome_unknown"]]);
  });
});

// It was logged as answered, and nothing told that its caller got a part.
test("a stopping host names and counts a response whose last bytes it can't send", async () => {
  const options = { route: ROUTE, replicas: [{ answer: framed }] };
  await withRig(options, async (rig) => {
    const { clock, stop } = rig.context;
    const { caller, responses } = await fillInTurn(rig);
    const requestedAt = stop.requestedAt = clock.now();
    const drained = await rig.callers.drain(clock, requestedAt);
    assert.deepEqual(unfinishedIn(rig), [[String(responses), "unsent"]]);
    assert.deepEqual(
      drained,
      { cut: 0, refused: 0, unsent: 1, unstarted: 0, unfinished: 1 },
    );
    const { complete } = bodiesIn((await received(caller)).text);
    assert.equal(complete, responses - 1);
  });
});

/** Sends several requests on one connection; resolves when all have arrived. */
async function sendPipelined(rig: Rig): Promise<Socket> {
  const caller = connectTo(rig);
  const ids = Array.from({ length: PIPELINED }, (_, at) => `${at}`);
  caller.write(
    ids.map((id) => REQUEST.replace("x-id: 1", `x-id: ${id}`)).join(""),
  );
  await rig.waitForRequests(1);
  while (rig.callers.openRequestCount < PIPELINED) await nextTurn();
  return caller;
}

// They were counted nowhere, and named up to the limit of the log.
test("a stopping host names and counts the pipelined requests behind a response that it cuts", async () => {
  const options = { route: ROUTE, replicas: [{ answer: endless }] };
  await withRig(options, async (rig) => {
    const { clock, stop } = rig.context;
    const connected = once(rig.callers.server, "connection");
    const caller = await sendPipelined(rig);
    const [accepted] = await connected as [Socket];
    while (accepted.writableLength === 0) await nextTurn();
    const requestedAt = stop.requestedAt = clock.now();
    const response = received(caller);
    const drained = await rig.callers.drain(clock, requestedAt);
    assert.deepEqual(
      unfinishedIn(rig),
      [["0", "running"], ["1", "queued"], ["2", "queued"]],
    );
    assert.deepEqual(
      drained,
      { cut: 1, refused: 0, unsent: 0, unstarted: 2, unfinished: 3 },
    );
    assert.match((await response).text, /^HTTP\/1.1 200 /);
  });
});

test("a stopping host refuses the pipelined requests behind one that it answers itself", async () => {
  const answer: RawAnswer = () => undefined;
  const options = { route: ROUTE, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const { clock, stop } = rig.context;
    const caller = await sendPipelined(rig);
    stop.graceMs = 0;
    const requestedAt = stop.requestedAt = clock.now();
    const response = received(caller);
    const drained = await rig.callers.drain(clock, requestedAt);
    assert.deepEqual(unfinishedIn(rig), [["0", "running"]]);
    assert.deepEqual(
      drained,
      { cut: 1, refused: 0, unsent: 0, unstarted: 0, unfinished: 1 },
    );
    const statuses = [...(await response).text.matchAll(/HTTP\/1.1 (\d+)/g)]
      .map(([, status]) => status);
    assert.deepEqual(statuses, ["502", "503", "503"]);
  });
});

// The line of a caller that disconnects is limited in number.
test("a stopping host names the requests whose callers disconnect", async () => {
  const answer: RawAnswer = () => undefined;
  const options = { route: ROUTE, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const { clock, stop } = rig.context;
    const caller = connectTo(rig);
    caller.write(REQUEST);
    await rig.waitForRequests(1);
    stop.requestedAt = clock.now();
    const deadline = clock.now() + TEST_TIMEOUT_MS;
    const drained = rig.callers.drain(clock, deadline);
    caller.destroy();
    const { unfinished } = await drained;
    assert.equal(unfinished, 1);
    assert.deepEqual(unfinishedIn(rig), [["1", "running"]]);
  });
});

// The timer of the deadline ran before the connections were read.
test("a response that arrived before the deadline is delivered by a busy host", async () => {
  let respond = () => {};
  const answer: RawAnswer = (request, socket) => {
    respond = () => void socket.write(completeResponse(request, BODY));
  };
  const options = { route: ROUTE, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const { clock, stop } = rig.context;
    const response = rig.call();
    await rig.waitForRequests(1);
    stop.requestedAt = clock.now();
    const deadline = clock.now() + SEVERAL_CHECKS_MS;
    const drained = rig.callers.drain(clock, deadline);
    respond();
    work(deadline + SEVERAL_CHECKS_MS);
    const { status, complete, body } = await response;
    assert.deepEqual([status, complete, body.length], [200, true, BODY.length]);
    const { cut, unfinished } = await drained;
    assert.deepEqual([cut, unfinished], [0, 0]);
  });
});

// What was not sent at the deadline was aborted although the host ran on.
test("a caller that reads a little after the deadline gets its whole response", async () => {
  const options = { route: ROUTE, replicas: [{ answer: framed }] };
  await withRig(options, async (rig) => {
    const { clock, stop } = rig.context;
    const { caller, responses } = await fillInTurn(rig);
    const requestedAt = stop.requestedAt = clock.now();
    const drained = rig.callers.drain(clock, requestedAt);
    await nextTurn();
    const { text } = await received(caller);
    assert.deepEqual(bodiesIn(text), { complete: responses, rest: 0 });
    assert.equal((await drained).unfinished, 0);
  });
});
