/**
 * New streams at a replica that was started again before its entry tells it.
 * Guards against streams that are recorded at the software version of the entry,
 * and go on at that version though another one wrote their first events.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage, RouteKind } from "../../../src/gateway/mod.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const BORN = 1;
const ROUTE = { kind: RouteKind.streaming, resumable: true, attempts: 2 };
const STREAM = { "x-tokens": "10,10" };

/** Streams an event that names the replica, and reports this start, if any. */
function answerAs(name: string, born: () => number | undefined): RawAnswer {
  return (request, socket) => {
    if (request.path === "/report" && born() === undefined) return;
    const body = request.path === "/report"
      ? reportOf(born())
      : request.path === "/reserve"
      ? `{"reservation":"${name}${request.number}"}`
      : `id: 1\ndata: ${name}\n\n`;
    const type = ["content-type: text/event-stream"];
    socket.write(completeResponse(request, body, type));
  };
}

function reportOf(born: number | undefined): string {
  return JSON.stringify({
    stage: "decode",
    born,
    orderCount: 0,
    isChanging: false,
  });
}

/** A decode replica and one more, to which the first one's streams may go. */
async function withEngine(
  end: (rig: Rig) => void,
  check: (bodies: readonly string[], rig: Rig) => void,
  bornAfter?: number,
): Promise<void> {
  let born: number | undefined = BORN;
  const replicas = [answerAs("a", () => born), answerAs("b", () => BORN)]
    .map((answer) => ({ answer, stage: ReplicaStage.decode, born: BORN }));
  const options = { route: ROUTE, engine: ENGINE, replicas };
  await withRig(options, async (rig) => {
    const call = (id: string) =>
      rig.call({ id, method: "POST", headers: STREAM });
    for (const id of ["1", "2", "3", "4"]) await call(id);
    born = bornAfter;
    end(rig);
    const responses = [];
    for (const id of ["5", "6", "7", "8"]) responses.push(await call(id));
    check(responses.map(({ body }) => body), rig);
  });
}

/** Records a sign that the first replica has ended. */
function noteEnd({ context }: Rig): void {
  const entry = context.replicas.get(`r0@${BORN}`)?.entry;
  assert.ok(entry);
  context.starts.noteEnd(entry);
}

const EVENTS_OF_B = "id: 1\ndata: b\n\n";

test("a replica that broke off a call begins no stream before it confirms its start", async () => {
  await withEngine(noteEnd, (bodies, rig) => {
    assert.deepEqual(bodies, bodies.map(() => EVENTS_OF_B));
    const withheld = rig.events
      .filter(({ name }) => name === "continuationWithheld");
    assert.ok(withheld.length > 0);
  }, BORN + 1);
});

test("a replica that is slow to report its start begins streams", async () => {
  await withEngine(noteEnd, (bodies) => {
    assert.ok(bodies.some((body) => body !== EVENTS_OF_B));
  });
});

test("a replica without a sign of its end is asked for no start", async () => {
  await withEngine(() => undefined, (bodies, rig) => {
    assert.ok(bodies.some((body) => body !== EVENTS_OF_B));
    const asked = rig.replicas.flatMap(({ requests }) => requests)
      .filter(({ path }) => path === "/report");
    assert.deepEqual(asked, []);
  }, BORN + 1);
});
