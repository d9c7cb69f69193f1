/** Requests to replicas that announce a rate limit. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

/** Large enough that no test exhausts it. */
const BUDGET = { ratio: 0, extra: 1000 };
/** Allows about one request in 5 s. */
const NO_CAPACITY = "0";

function answersWithLimit(limit: string): RawAnswer {
  return (request, socket) => {
    if (isReserve(request)) {
      return void socket.write(
        completeResponse(request, '{"reservation":"r"}'),
      );
    }
    socket.write(completeResponse(request, "answer", [`x-limit: ${limit}`]));
  };
}

const healthy: RawAnswer = (request, socket) => {
  const body = isReserve(request) ? '{"reservation":"r"}' : "answer";
  socket.write(completeResponse(request, body));
};

function isReserve({ path }: RawRequest): boolean {
  return path.startsWith("/reserve");
}

/** Counts the callers' requests that a replica received. */
function requestsAt({ replicas }: Rig, at: number): number {
  const all = replicas[at]?.requests ?? [];
  return all.filter((request) => !isReserve(request)).length;
}

async function statuses(rig: Rig, count: number): Promise<number[]> {
  const received: number[] = [];
  for (let at = 0; at < count; at++) {
    received.push((await rig.call({ id: `r${at}`, method: "POST" })).status);
  }
  return received;
}

test("a plain service uses the other replica while one is at its limit", async () => {
  const replicas = [{ answer: answersWithLimit(NO_CAPACITY) }, {
    answer: healthy,
  }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 20)), new Set([200]));
    assert.ok(requestsAt(rig, 0) <= 2);
    assert.equal(rig.context.limits.limited, 1);
    const limited = rig.context.replicas.get("r0");
    assert.equal(limited?.failures, 0);
  });
});

test("a service whose replicas are at their limits refuses at once with a Retry-After", async () => {
  const replicas = [{ answer: answersWithLimit(NO_CAPACITY) }, {
    answer: answersWithLimit("0.1"),
  }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    await statuses(rig, 4);
    const { status, headers, body } = await rig.call({ id: "last" });
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
    assert.match(body, /only so many requests/);
    const ended = rig.events.findLast((event) => event.name === "refused");
    assert.ok(ended && "error" in ended.fields);
    assert.equal(ended.fields.error, "limited");
  });
});

test("a retry is not sent to a replica at its limit", async () => {
  const fails: RawAnswer = (request, socket) => {
    const text = completeResponse(request, "x").replace("200 OK", "500 Failed");
    socket.write(text);
  };
  const replicas = [{ answer: answersWithLimit(NO_CAPACITY) }, {
    answer: fails,
  }];
  const route = { kind: "safe", attempts: 4 } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    await statuses(rig, 30);
    assert.ok(requestsAt(rig, 0) <= 2);
    assert.ok(requestsAt(rig, 1) > 20);
  });
});

test("a stream is not resumed at a replica at its limit", async () => {
  let count = 0;
  const interrupts20Times: RawAnswer = (request, socket) => {
    if (isReserve(request)) return healthy(request, socket);
    count += 1;
    if (count > 20) {
      return void socket.write(completeResponse(request, "id: 1\n\n"));
    }
    socket.end(chunkedHeaders(request) + chunk("id: 0\n\n"));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      { answer: answersWithLimit(NO_CAPACITY), stage: ReplicaStage.decode },
      { answer: interrupts20Times, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    const headers = { "x-tokens": "10,10", "x-patience": "1500" };
    for (let at = 0; at < 8; at++) {
      await rig.call({ id: `s${at}`, method: "POST", headers });
    }
    assert.ok(requestsAt(rig, 0) <= 2, `${requestsAt(rig, 0)} requests`);
  });
});

test("a prefill replica at its limit gets no further prefill", async () => {
  const prefills: RawAnswer = (request, socket) => {
    const extra = [`x-limit: ${NO_CAPACITY}`];
    socket.write(completeResponse(request, '{"export":"e"}', extra));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", objectiveMs: 300 },
    replicas: [
      { answer: healthy, stage: ReplicaStage.decode },
      { answer: prefills, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    const headers = { "x-tokens": "10,10" };
    for (let at = 0; at < 8; at++) {
      const response = await rig.call({
        id: `s${at}`,
        method: "POST",
        headers,
      });
      assert.equal(response.status, 200);
    }
    assert.ok(requestsAt(rig, 1) <= 2, `${requestsAt(rig, 1)} prompts`);
    assert.equal(rig.context.replicas.get("r1")?.failures, 0);
  });
});

test("a limit that is not a number is ignored and logged", async () => {
  const replicas = [{ answer: answersWithLimit("abc") }, {
    answer: answersWithLimit("abc"),
  }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 10)), new Set([200]));
    assert.equal(rig.context.limits.limited, 0);
    assert.ok(rig.events.some((event) => event.name === "limitUnreadable"));
  });
});

test("rejections because of a rate limit do not count as failures", async () => {
  const rejects: RawAnswer = (request, socket) => {
    const extra = ["x-not-run: 1", "x-limit: 50"];
    socket.write(
      completeResponse(request, "", extra).replace("200 OK", "503 Full"),
    );
  };
  const replicas = [{ answer: rejects }, { answer: healthy }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 20)), new Set([200]));
    const limited = rig.context.replicas.get("r0");
    assert.equal(limited?.failures, 0);
    assert.equal(limited?.isPaused(rig.context.clock.now()), false);
  });
});

test("a response to another request does not lift a limit", async () => {
  const answer: RawAnswer = (request, socket) => {
    if (request.number === 1) return answersWithLimit("50")(request, socket);
    const text = completeResponse(request, "x").replace(
      /x-id: .*\r\n/,
      "x-id: other\r\n",
    );
    socket.write(text);
  };
  const route = { kind: "unsafe" } as const;
  let time = 0;
  const now = () => time += 1;
  await withRig({ route, replicas: [{ answer }], now }, async (rig) => {
    // An owner that has just started grants few permits.
    time += 60_000;
    assert.deepEqual(await statuses(rig, 2), [200, 502]);
    assert.equal(rig.context.limits.limited, 1);
  });
});
