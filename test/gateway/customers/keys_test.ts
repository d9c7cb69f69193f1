/** Who may send a request, and what replicas are told of it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Customer,
  QuotaUnit,
  type RouteConfig,
  RouteKind,
} from "../../../src/gateway/mod.ts";
import type { QuotaTake } from "../../../src/gateway/quota/ledger.ts";
import type { QuotaOutcome } from "../../../src/gateway/quota/member.ts";
import { type RawAnswer, whole } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const ALPHA: Customer = { name: "alpha", keyDigests: ["digest of a-key"] };
const BETA: Customer = { name: "beta", keyDigests: ["digest of b-key"] };
const customers = [ALPHA, BETA];
const answer: RawAnswer = (request, socket) => {
  socket.write(whole(request, "ok"));
};
const replicas = [{ answer }];

function arrivedAt(rig: Rig) {
  return rig.replicas.flatMap((one) => one.requests);
}

/** Puts a configuration without one customer in force. */
function takeAway(rig: Rig, name: string): void {
  const config = rig.context.routes.config as RouteConfig;
  rig.context.routes.adopt({
    ...config,
    version: config.version + 1,
    customers: customers.filter((one) => one.name !== name),
  });
}

test("a request without a key, or with one that nobody holds, does not run", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    const sent: Record<string, string>[] = [{}, { "x-key": "unheard" }];
    for (const headers of sent) {
      const seen = await rig.call({ headers });
      assert.equal(seen.status, 401);
      assert.equal(seen.headers["www-authenticate"], "Bearer");
      assert.match(seen.body, /unknown_key/);
    }
    assert.equal(arrivedAt(rig).length, 0);
  });
});

test("a replica is told the customer, not the key, whatever the caller says", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    const headers = {
      "X-KEY": "a-key",
      "x-customer": "beta",
      "connection": "x-key, x-customer",
    };
    assert.equal((await rig.call({ headers })).status, 200);
    const [request] = arrivedAt(rig);
    assert.equal(request?.headers.get("x-customer"), "alpha");
    assert.equal(request?.headers.get("x-key"), undefined);
  });
});

test("an anonymous route needs no key, and passes none on", async () => {
  const route = { anonymous: true };
  await withRig({ route, replicas, customers }, async (rig) => {
    const headers = { "x-key": "a-key", "x-customer": "beta" };
    assert.equal((await rig.call({ headers })).status, 200);
    const [request] = arrivedAt(rig);
    assert.equal(request?.headers.get("x-customer"), undefined);
    assert.equal(request?.headers.get("x-key"), undefined);
  });
});

test("where no customers are, a header of that name belongs to the caller", async () => {
  await withRig({ replicas }, async (rig) => {
    const headers = { "x-key": "own" };
    assert.equal((await rig.call({ headers })).status, 200);
    assert.equal(arrivedAt(rig)[0]?.headers.get("x-key"), "own");
  });
});

test("a key that was taken away is refused from then on", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ id: "1", headers })).status, 200);
    takeAway(rig, "alpha");
    assert.equal((await rig.call({ id: "2", headers })).status, 401);
    assert.equal(arrivedAt(rig).length, 1);
  });
});

test("a request whose key is taken away between two sends is not sent again", async () => {
  let rig: Rig | undefined;
  const turnAway: RawAnswer = (request, socket) => {
    if (rig) takeAway(rig, "alpha");
    const lines = [`HTTP/1.1 503 Full`, "x-not-run: 1", "content-length: 0"];
    lines.push(`x-id: ${request.headers.get("x-id")}`);
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
  };
  const source = {
    route: { kind: RouteKind.unsafe, attempts: 2 },
    replicas: [{ answer: turnAway }, { answer: turnAway }],
    customers,
  };
  await withRig(source, async (started) => {
    rig = started;
    const seen = await started.call({ headers: { "x-key": "a-key" } });
    assert.equal(seen.status, 401);
    assert.equal(arrivedAt(started).length, 1);
  });
});

test("a host with too old a word of the keys refuses, and says that nothing ran", async () => {
  let ageMs = 20_000;
  const configAgeMs = () => ageMs;
  await withRig({ replicas, customers, configAgeMs }, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ id: "1", headers })).status, 200);
    ageMs = 20_001;
    const seen = await rig.call({ id: "2", headers });
    assert.equal(seen.status, 503);
    assert.ok(Number(seen.headers["retry-after"]) > 0);
    // Nor can it tell that a key is a bad one.
    const unheard = { "x-key": "unheard" };
    assert.equal((await rig.call({ id: "3", headers: unheard })).status, 503);
    assert.equal(arrivedAt(rig).length, 1);
  });
});

test("a host that waits for a newer configuration calls no key unknown", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    rig.context.routes.noteVersion(2);
    const unheard = await rig.call({ headers: { "x-key": "unheard" } });
    assert.equal(unheard.status, 503);
    assert.match(unheard.body, /stale_keys/);
    assert.equal((await rig.call()).status, 401);
    const known = await rig.call({ headers: { "x-key": "a-key" } });
    assert.equal(known.status, 200);
    takeAway(rig, "beta");
    const still = await rig.call({ headers: { "x-key": "unheard" } });
    assert.equal(still.status, 401);
    assert.equal(arrivedAt(rig).length, 1);
  });
});

test("a request goes by its customer's priority before its route's", async () => {
  const urgent = { ...ALPHA, priority: 0 };
  await withRig({ replicas, customers: [urgent, BETA] }, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ headers })).status, 200);
    const placed = rig.events.find((one) => one.name === "placed");
    assert.equal((placed?.fields as { priority?: number }).priority, 0);
    assert.equal((placed?.fields as { customer?: string }).customer, "alpha");
  });
});

/** Answers each take alike, or grants it; keeps what was told. */
function ownerThatSays(outcome: QuotaOutcome | undefined) {
  const taken: QuotaTake[] = [];
  const back: [string, number][] = [];
  const granted = ({ customer, units }: QuotaTake): QuotaOutcome => ({
    type: "granted",
    afterMs: 0,
    giveBack: () => back.push([customer, units]),
  });
  return {
    taken,
    back,
    quotas: {
      take: (take: QuotaTake) => {
        taken.push(take);
        return Promise.resolve(outcome ?? granted(take));
      },
    },
  };
}

const METERED: Customer = {
  ...ALPHA,
  quota: {
    unit: QuotaUnit.tokens,
    perSecond: 1000,
    burst: 3000,
    plainUnits: 200,
  },
};

test("a request takes the tokens that it names, or the usual number", async () => {
  const { taken, back, quotas } = ownerThatSays(undefined);
  const source = { replicas, customers: [METERED], quotas };
  await withRig(source, async (rig) => {
    const headers = { "x-key": "a-key" };
    const named = { ...headers, "x-tokens": "500,80" };
    assert.equal((await rig.call({ id: "1", headers: named })).status, 200);
    assert.equal((await rig.call({ id: "2", headers })).status, 200);
  });
  assert.deepEqual(taken.map((one) => one.units), [580, 200]);
  assert.deepEqual(taken[0]?.rate, { perSecond: 1000, burst: 3000 });
  assert.deepEqual(back, []);
});

test("a request over the quota does not run, and is told when to come back", async () => {
  const { quotas } = ownerThatSays({ type: "refused", retryAfterMs: 1234 });
  const source = { replicas, customers: [METERED], quotas };
  await withRig(source, async (rig) => {
    const seen = await rig.call({ headers: { "x-key": "a-key" } });
    assert.equal(seen.status, 429);
    assert.equal(seen.headers["retry-after"], "1.24");
    assert.equal(arrivedAt(rig).length, 0);
  });
});

test("without word of the quota's owner nothing runs", async () => {
  const { quotas } = ownerThatSays({ type: "unknown" });
  const source = { replicas, customers: [METERED], quotas };
  await withRig(source, async (rig) => {
    const seen = await rig.call({ headers: { "x-key": "a-key" } });
    assert.equal(seen.status, 503);
    assert.equal(arrivedAt(rig).length, 0);
  });
});

test("a request that did not run gives its units back, one that ran does not", async () => {
  const { back, quotas } = ownerThatSays(undefined);
  let turnAway = false;
  const answerOrTurnAway: RawAnswer = (request, socket) => {
    if (!turnAway) return void socket.write(whole(request, "ok"));
    const lines = ["HTTP/1.1 503 Full", "x-not-run: 1", "content-length: 0"];
    lines.push(`x-id: ${request.headers.get("x-id")}`);
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
  };
  const source = {
    route: { kind: RouteKind.unsafe, attempts: 1 },
    replicas: [{ answer: answerOrTurnAway }],
    customers: [METERED],
    quotas,
  };
  await withRig(source, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ id: "1", headers })).status, 200);
    assert.deepEqual(back, []);
    turnAway = true;
    assert.equal((await rig.call({ id: "2", headers })).status, 503);
    assert.deepEqual(back, [["alpha", 200]]);
  });
});
