/** Requests to plain replicas that ask for a pause. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type RawAnswer, whole } from "../raw_replica.ts";
import { withRig } from "../rig.ts";
import {
  BUDGET,
  checkAlone,
  LONG_MS,
  requestsAt,
  sound,
  statuses,
  turnsAway,
} from "./notice_rig.ts";

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

test("who may have run is told no time to come back", async () => {
  const replicas = [{ answer: turnsAway(LONG_MS, []) }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    const { status, headers } = await rig.call({ method: "POST" });
    assert.equal(status, 502);
    assert.equal(headers["retry-after"], undefined);
  });
});

test("a service whose replicas all ask for a pause refuses at once, with its end", async () => {
  const replicas = [{ answer: turnsAway(9000) }, { answer: turnsAway(7000) }];
  const route = { kind: "unsafe", attempts: 4 } as const;
  const now = () => 100_000;
  await withRig({ route, budget: BUDGET, replicas, now }, async (rig) => {
    const first = await rig.call({ id: "first", method: "POST" });
    assert.equal(first.status, 503);
    const { status, headers, body } = await rig.call({ id: "last" });
    assert.equal(status, 503);
    const seconds = Number(headers["retry-after"]);
    // The sooner end of the two, and a third more at most.
    assert.ok(seconds >= 7 && seconds < 9.4, String(seconds));
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
    const now = () => 100_000;
    await withRig({ route: { priority }, replicas, now }, async (rig) => {
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

test("after a pause one request tries the replica while others go elsewhere", async () => {
  let hasPaused = false;
  const held: (() => void)[] = [];
  const hangs: RawAnswer = (request, socket) => {
    if (hasPaused) return void held.push(() => sound(request, socket));
    hasPaused = true;
    turnsAway(1000)(request, socket);
  };
  const replicas = [{ answer: hangs }, { answer: sound }];
  let time = 100_000;
  const now = () => time;
  await withRig({ budget: BUDGET, replicas, now }, async (rig) => {
    assert.deepEqual(await statuses(rig, 1), [200]);
    time += 2000;
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
