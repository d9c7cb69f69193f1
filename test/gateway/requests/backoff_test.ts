/** Requests to plain replicas that request a backoff. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";
import {
  assertBacksOff,
  BUDGET,
  healthy,
  LONG_BACKOFF_MS,
  rejectsWithBackoff,
  requestsAt,
  statuses,
} from "./notice_rig.ts";

test("a plain service uses the other replica while one backs off", async () => {
  const replicas = [{ answer: rejectsWithBackoff(LONG_BACKOFF_MS) }, {
    answer: healthy,
  }];
  const route = { kind: "unsafe" } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 20)), new Set([200]));
    assert.equal(requestsAt(rig, 0), 1);
    assertBacksOff(rig, "r0");
    assert.equal(rig.context.gate.backingOff, 1);
    const backoffs = rig.events.filter((event) =>
      event.name === "backoffAsked"
    );
    assert.deepEqual(backoffs.map((event) => event.fields), [
      { replica: "r0", request: "r0", for_ms: LONG_BACKOFF_MS },
    ]);
  });
});

test("a replica also backs off if it does not state that nothing ran", async () => {
  const replicas = [{ answer: rejectsWithBackoff(LONG_BACKOFF_MS, []) }, {
    answer: healthy,
  }];
  const route = { kind: "safe", attempts: 4 } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    await statuses(rig, 10);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("a request that may have run gets no Retry-After", async () => {
  const replicas = [{ answer: rejectsWithBackoff(LONG_BACKOFF_MS, []) }];
  await withRig({ route: { kind: "unsafe" }, replicas }, async (rig) => {
    const { status, headers } = await rig.call({ method: "POST" });
    assert.equal(status, 502);
    assert.equal(headers["retry-after"], undefined);
  });
});

test("a service whose replicas all back off refuses at once with a Retry-After", async () => {
  const replicas = [{ answer: rejectsWithBackoff(9000) }, {
    answer: rejectsWithBackoff(7000),
  }];
  const route = { kind: "unsafe", attempts: 4 } as const;
  const now = () => 100_000;
  await withRig({ route, budget: BUDGET, replicas, now }, async (rig) => {
    const first = await rig.call({ id: "first", method: "POST" });
    assert.equal(first.status, 503);
    const { status, headers, body } = await rig.call({ id: "last" });
    assert.equal(status, 503);
    const seconds = Number(headers["retry-after"]);
    // The shorter backoff of the two, plus at most a third.
    assert.ok(seconds >= 7 && seconds < 9.4, String(seconds));
    assert.match(body, /asked for a pause/);
    assert.equal(requestsAt(rig, 0) + requestsAt(rig, 1), 2);
    const ended = rig.events.findLast((event) => event.name === "refused");
    assert.ok(ended && "error" in ended.fields);
    assert.equal(ended.fields.error, "backing_off");
  });
});

test("more urgent requests get a shorter Retry-After", async () => {
  const secondsOf = async (priority: number) => {
    const replicas = [{ answer: rejectsWithBackoff(9000) }];
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

test("a retry is not sent to a replica that backs off", async () => {
  const fails: RawAnswer = (request, socket) => {
    const text = completeResponse(request, "x").replace("200 OK", "500 Failed");
    socket.write(text);
  };
  const replicas = [{ answer: rejectsWithBackoff(LONG_BACKOFF_MS) }, {
    answer: fails,
  }];
  const route = { kind: "safe", attempts: 4 } as const;
  await withRig({ route, budget: BUDGET, replicas }, async (rig) => {
    await statuses(rig, 20);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("after a backoff one request tries the replica while others use another one", async () => {
  let hasBackedOff = false;
  const pending: (() => void)[] = [];
  const hangs: RawAnswer = (request, socket) => {
    if (hasBackedOff) return void pending.push(() => healthy(request, socket));
    hasBackedOff = true;
    rejectsWithBackoff(1000)(request, socket);
  };
  const replicas = [{ answer: hangs }, { answer: healthy }];
  let time = 100_000;
  const now = () => time;
  await withRig({ budget: BUDGET, replicas, now }, async (rig) => {
    assert.deepEqual(await statuses(rig, 1), [200]);
    time += 2000;
    const tries = rig.call({ id: "tries" });
    await rig.waitForRequests(3);
    const others = await Promise.all(
      Array.from({ length: 8 }, (_, at) => rig.call({ id: `other${at}` })),
    );
    assert.ok(others.every((response) => response.status === 200));
    assert.equal(requestsAt(rig, 0), 2);
    for (const answer of pending) answer();
    assert.equal((await tries).status, 200);
  });
});

test("an unreadable backoff is ignored and logged", async () => {
  const replicas = [{ answer: rejectsWithBackoff("abc") }, { answer: healthy }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6)), new Set([200]));
    assert.equal(rig.context.gate.backingOff, 0);
    assert.ok(rig.events.some((event) => event.name === "backoffUnreadable"));
  });
});
