/** Requests to replicas that say they leave, by every way that leads there. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { connectionShare } from "../../../src/gateway/requests/sender.ts";
import { chunk, chunkedHead, type RawAnswer, whole } from "../raw_replica.ts";
import { ENGINE, withRig } from "../rig.ts";
import {
  BUDGET,
  engine,
  isOwnCall,
  requestsAt,
  sound,
  statuses,
} from "./notice_rig.ts";

const LEAVING = ["x-leaving: 1"];

const leaves: RawAnswer = engine((request, socket) => {
  socket.write(whole(request, "answer", LEAVING));
});

test("a plain service uses the replica beside one that leaves", async () => {
  const replicas = [{ answer: leaves }, { answer: sound }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 20)), new Set([200]));
    assert.equal(requestsAt(rig, 0), 1);
    const heard = rig.events.filter((one) => one.name === "replicaLeaving");
    assert.deepEqual(heard.map((one) => one.fields), [
      { replica: "r0", source: "answer", request: "r0" },
    ]);
  });
});

test("a service whose replicas all leave refuses at once, with a time", async () => {
  const replicas = [{ answer: leaves }, { answer: leaves }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    await statuses(rig, 2);
    const { status, headers } = await rig.call({ id: "last" });
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
    assert.equal(requestsAt(rig, 0) + requestsAt(rig, 1), 2);
  });
});

for (const status of ["404 Missing", "500 Failed", "503 Full"]) {
  test(`an answer of ${status} closes its replica too`, async () => {
    const fails: RawAnswer = (request, socket) => {
      const head = whole(request, "x", LEAVING).replace("200 OK", status);
      socket.write(head);
    };
    const replicas = [{ answer: fails }, { answer: sound }];
    const route = { kind: "safe", attempts: 4 } as const;
    await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
      await statuses(rig, 10);
      assert.equal(requestsAt(rig, 0), 1);
    });
  });
}

test("what another replica at the address says closes none", async () => {
  const other: RawAnswer = (request, socket) => {
    const head = whole(request, "x", [...LEAVING, "x-backoff: 9000"]);
    socket.write(head.replace("200 OK", "421 Misdirected"));
  };
  const replicas = [{ answer: other }, { answer: sound }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 4)), new Set([200]));
    const { replicas: table } = rig.context;
    assert.equal(table.openOf("service").length, 2);
  });
});

test("a late answer to another request closes its replica", async () => {
  const crosses: RawAnswer = (request, socket) => {
    const head = whole(request, "x", LEAVING);
    socket.write(head.replace(/x-id: .*\r\n/, "x-id: other\r\n"));
  };
  const replicas = [{ answer: crosses }, { answer: sound }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    await statuses(rig, 6);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

const STREAM = { "x-tokens": "10,10" };

test("a stream doesn't go on at a replica that leaves", async () => {
  const cuts: RawAnswer = engine((request, socket) => {
    socket.end(chunkedHead(request, LEAVING) + chunk("id: 0\n\n"));
  });
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      { answer: cuts, stage: ReplicaStage.decode },
      { answer: sound, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    await statuses(rig, 6, STREAM);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("prompts aren't read at a replica that leaves", async () => {
  const reads: RawAnswer = (request, socket) => {
    socket.write(whole(request, '{"export":"e"}', LEAVING));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming" },
    replicas: [
      { answer: sound, stage: ReplicaStage.decode },
      { answer: reads, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    assert.equal(requestsAt(rig, 1), 1);
  });
});

test("a request whose decode replica leaves during its prefill goes elsewhere", async () => {
  let hearLeaving: () => void = () => undefined;
  const reads: RawAnswer = (request, socket) => {
    if (!isOwnCall(request)) hearLeaving();
    socket.write(whole(request, '{"export":"e"}'));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming" },
    replicas: [
      { answer: sound, stage: ReplicaStage.decode },
      { answer: sound, stage: ReplicaStage.decode },
      { answer: reads, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    const { leaving } = rig.context;
    // Memory is reserved at the decode replica by then.
    hearLeaving = () => {
      const at = rig.replicas.findIndex((one) => one.requests.length > 0);
      leaving.take([`r${at}`], undefined);
      hearLeaving = () => undefined;
    };
    assert.deepEqual(await statuses(rig, 1, STREAM), [200]);
    const held = rig.events.filter((one) => one.name === "passedOver");
    assert.equal(held.length, 1);
    const { replica } = held[0]?.fields as { replica: string };
    assert.equal(requestsAt(rig, Number(replica.slice(1))), 0);
    // What was read for it is let go where it is kept.
    const kept = rig.replicas[2]?.requests ?? [];
    assert.ok(kept.some((one) => one.method === "DELETE"));
  });
});

test("an engine that says it leaves where memory is reserved gets no request", async () => {
  const tells: RawAnswer = (request, socket) => {
    socket.write(whole(request, '{"reservation":"r"}', LEAVING));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: tells, stage: ReplicaStage.decode },
      { answer: sound, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    assert.equal(requestsAt(rig, 0), 0);
    assert.equal(requestsAt(rig, 1), 6);
  });
});

test("requests that wait for a connection aren't sent once their replica leaves", async () => {
  const held: (() => void)[] = [];
  const hangs: RawAnswer = (request, socket) => {
    held.push(() => sound(request, socket));
  };
  await withRig({ replicas: [{ answer: hangs }] }, async (rig) => {
    // A host's part of the connections that the replica takes, and five more.
    const share = connectionShare(100, 1);
    const calls = Array.from(
      { length: share + 5 },
      (_, at) => rig.call({ id: `r${at}`, headers: { connection: "close" } }),
    );
    await rig.arrived(share);
    rig.context.leaving.take(["r0"], undefined);
    for (const answer of held) answer();
    const seen = await Promise.all(calls);
    assert.equal(seen.filter((one) => one.status === 200).length, share);
    assert.equal(seen.filter((one) => one.status === 503).length, 5);
    assert.equal(requestsAt(rig, 0), share);
  });
});
