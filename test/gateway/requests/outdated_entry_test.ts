/**
 * Guards against streams that go on at a replica that has started again at its
 * address, perhaps with another software version, while its entry is still that
 * of its last start.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { ENGINE, type RigReplica, withRig } from "../rig.ts";
import {
  boundTo,
  continues,
  decodes,
  event,
  interruptedAfter,
  received,
  RESUMED,
  ROUTE,
  streamSource,
} from "./stream_rig.ts";

const LISTED_START = 1;
const LATER_START = 2;
const DECODE = {
  stage: ReplicaStage.decode,
  softwareVersion: "v1",
  born: LISTED_START,
};
const RESUMED_EVENT = event(1);
const RESUMPTIONS = 8;
const REPORT_MS = 100;

type ReportAnswer = (respond: (text: string) => void, count: number) => void;

/** A decode replica that answers requests for its report by `report`. */
function reporting(answer: RawAnswer, report: ReportAnswer): RigReplica {
  let count = 0;
  const withReport: RawAnswer = (request, socket) => {
    if (request.path !== "/report") return decodes(answer)(request, socket);
    count += 1;
    report((text) => socket.write(completeResponse(request, text)), count);
  };
  return { ...DECODE, answer: withReport };
}

/** A decode replica that reports its start. */
function startedAt(born: number, answer: RawAnswer): RigReplica {
  return reporting(answer, (respond) => respond(JSON.stringify({ born })));
}

/** Options of a rig whose resumed streams began at the listed version. */
function resuming(replicas: readonly RigReplica[]) {
  const { source } = streamSource(boundTo("v1"));
  return { route: ROUTE, engine: ENGINE, replicas, streams: source };
}

/** An event that no caller may receive. */
const OTHER_VERSION = "id: 1\ndata: other\n\n";
const otherVersion: RawAnswer = (request, socket) => {
  if (request.headers.get("last-event-id") === undefined) {
    return interruptedAfter(event(1))(request, socket);
  }
  interruptedAfter(OTHER_VERSION)(request, socket);
};

test("a resumed stream doesn't go on at a later start of its replica than the listed one", async () => {
  const replicas = [
    startedAt(LATER_START, otherVersion),
    startedAt(LISTED_START, continues),
  ];
  await withRig(resuming(replicas), async (rig) => {
    const { body, complete } = await rig.call({ headers: RESUMED });
    assert.deepEqual([body, complete], [RESUMED_EVENT, true]);
    assert.deepEqual(received(rig), [1, 1]);
  });
});

test("a resumed stream brings no event while its only replica has started again", async () => {
  const replicas = [startedAt(LATER_START, continues)];
  await withRig(resuming(replicas), async (rig) => {
    const { status, body } = await rig.call({ headers: RESUMED });
    assert.notEqual(status, 200);
    assert.ok(!body.includes("data"));
  });
});

test("an interrupted stream doesn't go on at a later start of its replica", async () => {
  const replicas = [startedAt(LATER_START, otherVersion)];
  const options = { route: ROUTE, engine: ENGINE, replicas };
  await withRig(options, async (rig) => {
    const { body, complete } = await rig.call();
    assert.deepEqual([body, complete], [event(1), false]);
  });
});

test("a resumed stream waits for a replica that reports its start late", async () => {
  const replica = reporting(continues, (respond, count) => {
    if (count > 1) respond(JSON.stringify({ born: LISTED_START }));
  });
  await withRig(resuming([replica]), async (rig) => {
    const { body, complete } = await rig.call({ headers: RESUMED });
    assert.deepEqual([body, complete], [RESUMED_EVENT, true]);
  });
});

test("a resumed stream goes on at a replica that reports no start", async () => {
  const replica = reporting(continues, (respond) => respond("{}"));
  await withRig(resuming([replica]), async (rig) => {
    const { body, complete } = await rig.call({ headers: RESUMED });
    assert.deepEqual([body, complete], [RESUMED_EVENT, true]);
  });
});

test("a new stream needs no report of its replica", async () => {
  const replicas = [startedAt(LISTED_START, continues)];
  const options = { route: ROUTE, engine: ENGINE, replicas };
  await withRig(options, async (rig) => {
    assert.equal((await rig.call()).status, 200);
    const paths = rig.replicas[0]?.requests.map(({ path }) => path);
    assert.ok(!paths?.includes("/report"));
  });
});

// Guards against streams that wait for connections for as many reports.
test("streams that are resumed at a replica at the same time share its reports", async () => {
  const replica = reporting(continues, (respond) => {
    const report = JSON.stringify({ born: LISTED_START });
    setTimeout(() => respond(report), REPORT_MS);
  });
  await withRig(resuming([replica]), async (rig) => {
    const calls = await Promise.all(
      Array.from(
        { length: RESUMPTIONS },
        (_, at) => rig.call({ id: `resumed-${at}`, headers: RESUMED }),
      ),
    );
    assert.ok(calls.every(({ status }) => status === 200));
    const reports = rig.replicas[0]?.requests.filter(({ path }) =>
      path === "/report"
    );
    assert.ok(reports && reports.length <= RESUMPTIONS / 2);
  });
});
