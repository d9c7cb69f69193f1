/** Requests to replicas that announce in a response that they drain. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { connectionShare } from "../../../src/gateway/upstreams/connection_share.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
} from "../raw_replica.ts";
import { ENGINE, withRig } from "../rig.ts";
import {
  answersEngineCalls,
  BUDGET,
  healthy,
  isHostCall,
  requestsAt,
  statuses,
} from "./notice_rig.ts";

const DRAINING = ["x-leaving: 1"];

const drains: RawAnswer = answersEngineCalls((request, socket) => {
  socket.write(completeResponse(request, "answer", DRAINING));
});

test("a plain service uses the other replica while one drains", async () => {
  const replicas = [{ answer: drains }, { answer: healthy }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 20)), new Set([200]));
    assert.equal(requestsAt(rig, 0), 1);
    const announced = rig.events.filter((event) =>
      event.name === "replicaLeaving"
    );
    assert.deepEqual(announced.map((event) => event.fields), [
      { replica: "r0", source: "answer", request: "r0" },
    ]);
  });
});

test("a service whose replicas all drain refuses at once with a Retry-After", async () => {
  const replicas = [{ answer: drains }, { answer: drains }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    await statuses(rig, 2);
    const { status, headers } = await rig.call({ id: "last" });
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
    assert.equal(requestsAt(rig, 0) + requestsAt(rig, 1), 2);
  });
});

for (const status of ["404 Missing", "500 Failed", "503 Full"]) {
  test(`a response with status ${status} also closes its draining replica`, async () => {
    const fails: RawAnswer = (request, socket) => {
      const text = completeResponse(request, "x", DRAINING).replace(
        "200 OK",
        status,
      );
      socket.write(text);
    };
    const replicas = [{ answer: fails }, { answer: healthy }];
    const route = { kind: "safe", attempts: 4 } as const;
    await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
      await statuses(rig, 10);
      assert.equal(requestsAt(rig, 0), 1);
    });
  });
}

test("notices from another replica at the address close no replica", async () => {
  const misdirected: RawAnswer = (request, socket) => {
    const text = completeResponse(request, "x", [
      ...DRAINING,
      "x-backoff: 9000",
    ]);
    socket.write(text.replace("200 OK", "421 Misdirected"));
  };
  const replicas = [{ answer: misdirected }, { answer: healthy }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 4)), new Set([200]));
    const { replicas: listing } = rig.context;
    assert.equal(listing.openReplicasOf("service").length, 2);
  });
});

test("a late response to another request closes its draining replica", async () => {
  const answersOther: RawAnswer = (request, socket) => {
    const text = completeResponse(request, "x", DRAINING);
    socket.write(text.replace(/x-id: .*\r\n/, "x-id: other\r\n"));
  };
  const replicas = [{ answer: answersOther }, { answer: healthy }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    await statuses(rig, 6);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

const STREAM = { "x-tokens": "10,10" };

test("a stream is not resumed at a draining replica", async () => {
  const interrupts: RawAnswer = answersEngineCalls((request, socket) => {
    socket.end(chunkedHeaders(request, DRAINING) + chunk("id: 0\n\n"));
  });
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      { answer: interrupts, stage: ReplicaStage.decode },
      { answer: healthy, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    await statuses(rig, 6, STREAM);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("a draining replica gets no further prefill", async () => {
  const prefills: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, '{"export":"e"}', DRAINING));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming" },
    replicas: [
      { answer: healthy, stage: ReplicaStage.decode },
      { answer: prefills, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    assert.equal(requestsAt(rig, 1), 1);
  });
});

test("a request whose decode replica drains during the prefill is sent to another one", async () => {
  let startDraining: () => void = () => undefined;
  const prefills: RawAnswer = (request, socket) => {
    if (!isHostCall(request)) startDraining();
    socket.write(completeResponse(request, '{"export":"e"}'));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming" },
    replicas: [
      { answer: healthy, stage: ReplicaStage.decode },
      { answer: healthy, stage: ReplicaStage.decode },
      { answer: prefills, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    const { draining } = rig.context;
    // Called after memory has been reserved at the decode replica.
    startDraining = () => {
      const at = rig.replicas.findIndex((replica) =>
        replica.requests.length > 0
      );
      draining.receive([`r${at}`], undefined);
      startDraining = () => undefined;
    };
    assert.deepEqual(await statuses(rig, 1, STREAM), [200]);
    const skipped = rig.events.filter((event) => event.name === "passedOver");
    assert.equal(skipped.length, 1);
    const { replica } = skipped[0]?.fields as { replica: string };
    assert.equal(requestsAt(rig, Number(replica.slice(1))), 0);
    // The unused export is dropped at the prefill replica.
    const prefillCalls = rig.replicas[2]?.requests ?? [];
    assert.ok(prefillCalls.some((call) => call.method === "DELETE"));
  });
});

test("an engine that announces draining in a reservation response gets no request", async () => {
  const reserves: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, '{"reservation":"r"}', DRAINING));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: reserves, stage: ReplicaStage.decode },
      { answer: healthy, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    assert.equal(requestsAt(rig, 0), 0);
    assert.equal(requestsAt(rig, 1), 6);
  });
});

test("requests that wait for a connection are not sent once their replica drains", async () => {
  const pending: (() => void)[] = [];
  const hangs: RawAnswer = (request, socket) => {
    pending.push(() => healthy(request, socket));
  };
  await withRig({ replicas: [{ answer: hangs }] }, async (rig) => {
    // Five more requests than this host's share of the replica's connections.
    const share = connectionShare(100, 1);
    const calls = Array.from(
      { length: share + 5 },
      (_, at) => rig.call({ id: `r${at}`, headers: { connection: "close" } }),
    );
    await rig.waitForRequests(share);
    rig.context.draining.receive(["r0"], undefined);
    for (const answer of pending) answer();
    const responses = await Promise.all(calls);
    assert.equal(
      responses.filter((response) => response.status === 200).length,
      share,
    );
    assert.equal(
      responses.filter((response) => response.status === 503).length,
      5,
    );
    assert.equal(requestsAt(rig, 0), share);
  });
});
