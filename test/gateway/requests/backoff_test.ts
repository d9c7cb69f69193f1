/** Requests to replicas that ask for a pause, by every way that leads there. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHead,
  type RawAnswer,
  type RawRequest,
  whole,
} from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

/** The retry budget never ends a test. */
const BUDGET = { ratio: 0, extra: 1000 };
/** Longer than any of these tests. */
const LONG_MS = 60_000;
/** Planners pass a replica over for less than this when it turned one away. */
const FULL_MS = 150;
const STREAM = { "x-tokens": "10,10" };

const isOwnCall = ({ path }: RawRequest) => /^.(reserve|export)/.test(path);

/** Answers calls of the host's own, and requests with `answer`. */
function engine(answer: RawAnswer): RawAnswer {
  return (request, socket) => {
    if (!isOwnCall(request)) return answer(request, socket);
    socket.write(whole(request, '{"reservation":"r"}'));
  };
}

/** Turns a request away and asks for a pause. */
function turnsAway(forMs: number | string, extra = ["x-not-run: 1"]) {
  const answer: RawAnswer = (request, socket) => {
    const head = whole(request, "", [...extra, `x-backoff: ${forMs}`]);
    socket.write(head.replace("200 OK", "503 Full"));
  };
  return answer;
}

const sound: RawAnswer = engine((request, socket) => {
  socket.write(whole(request, "answer"));
});

/** Requests of callers that came to a replica. */
function requestsAt({ replicas }: Rig, at: number): number {
  const all = replicas[at]?.requests ?? [];
  return all.filter((one) => !isOwnCall(one)).length;
}

async function statuses(
  rig: Rig,
  count: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<number[]> {
  const seen: number[] = [];
  for (let at = 0; at < count; at++) {
    const call = { id: `r${at}`, method: "POST", headers };
    seen.push((await rig.call(call)).status);
  }
  return seen;
}

/** It is left alone, and not held to have failed. */
function checkAlone({ context }: Rig, id: string): void {
  const replica = context.replicas.get(id);
  assert.ok(replica);
  assert.equal(context.gate.obstacle(replica)?.type, "backoff");
  assert.equal(replica.failures, 0);
  assert.equal(replica.paused(context.clock.now()), false);
}

test("a plain service uses the replica beside one that asks for a pause", async () => {
  const replicas = [{ answer: turnsAway(LONG_MS) }, { answer: sound }];
  const route = { kind: "unsafe" } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 20)), new Set([200]));
    assert.equal(requestsAt(rig, 0), 1);
    checkAlone(rig, "r0");
    assert.equal(rig.context.gate.backingOff, 1);
    const asked = rig.events.filter((one) => one.name === "backoffAsked");
    assert.deepEqual(asked.map((one) => one.fields), [
      { replica: "r0", request: "r0", for_ms: LONG_MS },
    ]);
  });
});

test("it holds too where the replica doesn't say that nothing ran", async () => {
  const replicas = [{ answer: turnsAway(LONG_MS, []) }, { answer: sound }];
  const route = { kind: "safe", attempts: 4 } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    await statuses(rig, 10);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("a service whose replicas all ask for a pause refuses at once, with its end", async () => {
  const replicas = [{ answer: turnsAway(9000) }, { answer: turnsAway(7000) }];
  const route = { kind: "unsafe", attempts: 4 } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    const first = await rig.call({ id: "first", method: "POST" });
    assert.equal(first.status, 503);
    const { status, headers, body } = await rig.call({ id: "last" });
    assert.equal(status, 503);
    const seconds = Number(headers["retry-after"]);
    // The sooner end of the two, and a third more at most.
    assert.ok(seconds > 6 && seconds < 9.4, String(seconds));
    assert.match(body, /asked for a pause/);
    assert.equal(requestsAt(rig, 0) + requestsAt(rig, 1), 2);
    const ended = rig.events.findLast((one) => one.name === "refused");
    assert.ok(ended && "error" in ended.fields);
    assert.equal(ended.fields.error, "backing_off");
  });
});

test("the more urgent are told to come back sooner", async () => {
  const secondsOf = async (priority: number) => {
    const replicas = [{ answer: turnsAway(9000) }];
    let seconds = 0;
    await withRig({ route: { priority }, replicas }, async (rig) => {
      await rig.call({ id: "first" });
      seconds = Number((await rig.call({ id: "r" })).headers["retry-after"]);
    });
    return seconds;
  };
  assert.ok(await secondsOf(0) < await secondsOf(2));
});

test("a retry doesn't go to a replica in a pause", async () => {
  const fails: RawAnswer = (request, socket) => {
    const head = whole(request, "x").replace("200 OK", "500 Failed");
    socket.write(head);
  };
  const replicas = [{ answer: turnsAway(LONG_MS) }, { answer: fails }];
  const route = { kind: "safe", attempts: 4 } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    await statuses(rig, 20);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("a stream doesn't go on at a replica in a pause", async () => {
  const cuts: RawAnswer = engine((request, socket) => {
    socket.end(chunkedHead(request) + chunk("id: 0\n\n"));
  });
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      { answer: engine(turnsAway(LONG_MS)), stage: ReplicaStage.decode },
      { answer: cuts, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    await statuses(rig, 6, { ...STREAM, "x-patience": "1500" });
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("prompts aren't read at a replica in a pause", async () => {
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming" },
    replicas: [
      { answer: sound, stage: ReplicaStage.decode },
      { answer: turnsAway(LONG_MS), stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    assert.equal(requestsAt(rig, 1), 1);
    checkAlone(rig, "r1");
  });
});

test("a replica that has no memory and asks for a pause isn't asked again", async () => {
  const isReserve = ({ path }: RawRequest) => path.startsWith("/reserve");
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: turnsAway(LONG_MS), stage: ReplicaStage.decode },
      { answer: sound, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    const asked = rig.replicas[0]?.requests.filter(isReserve) ?? [];
    assert.equal(asked.length, 1);
    assert.equal(requestsAt(rig, 0), 0);
    checkAlone(rig, "r0");
  });
});

test("a model service whose replicas all ask for a pause refuses at once", async () => {
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: turnsAway(9000), stage: ReplicaStage.decode },
      { answer: sound, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    assert.deepEqual(await statuses(rig, 3, STREAM), [503, 503, 503]);
    const refused = rig.events.filter((one) => one.name === "refused");
    for (const { fields } of refused) {
      assert.equal("error" in fields && fields.error, "backing_off");
    }
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});

test("a request that waits for memory takes the replica whose pause ends", async () => {
  let isBusy = true;
  const pauses: RawAnswer = (request, socket) => {
    if (!isBusy) return sound(request, socket);
    isBusy = false;
    turnsAway(200)(request, socket);
  };
  const full: RawAnswer = (request, socket) => {
    socket.write(whole(request, "{}").replace("200 OK", "503 Full"));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: pauses, stage: ReplicaStage.decode },
      { answer: full, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(await statuses(rig, 1, STREAM), [200]);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("after a pause one request tries the replica while others go elsewhere", async () => {
  let hasPaused = false;
  const held: (() => void)[] = [];
  const hangs: RawAnswer = (request, socket) => {
    if (hasPaused) return void held.push(() => sound(request, socket));
    hasPaused = true;
    turnsAway(1)(request, socket);
  };
  const replicas = [{ answer: hangs }, { answer: sound }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(await statuses(rig, 1), [200]);
    await new Promise((go) => setTimeout(go, FULL_MS));
    const tries = rig.call({ id: "tries" });
    await rig.arrived(3);
    const others = await Promise.all(
      Array.from({ length: 8 }, (_, at) => rig.call({ id: `other${at}` })),
    );
    assert.ok(others.every((one) => one.status === 200));
    assert.equal(requestsAt(rig, 0), 2);
    for (const answer of held) answer();
    assert.equal((await tries).status, 200);
  });
});

test("a pause of no readable length stops nothing, and is logged", async () => {
  const replicas = [{ answer: turnsAway("abc") }, { answer: sound }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6)), new Set([200]));
    assert.equal(rig.context.gate.backingOff, 0);
    assert.ok(rig.events.some((one) => one.name === "backoffUnreadable"));
  });
});
