/** Tests admission by key, the headers sent to replicas, and quotas. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Customer,
  QuotaUnit,
  type RouteConfig,
  RouteKind,
} from "../../../src/gateway/mod.ts";
import type { QuotaRequest } from "../../../src/gateway/quota/ledger.ts";
import type { QuotaOutcome } from "../../../src/gateway/quota/member_options.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const ALPHA: Customer = { name: "alpha", keyDigests: ["digest of a-key"] };
const BETA: Customer = { name: "beta", keyDigests: ["digest of b-key"] };
const customers = [ALPHA, BETA];
const answer: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "ok"));
};
const replicas = [{ answer }];

function receivedRequests(rig: Rig) {
  return rig.replicas.flatMap((replica) => replica.requests);
}

/** Applies a configuration without the customer, which revokes its keys. */
function removeCustomer(rig: Rig, name: string): void {
  const config = rig.context.routes.config as RouteConfig;
  rig.context.routes.adopt({
    ...config,
    version: config.version + 1,
    customers: customers.filter((customer) => customer.name !== name),
  });
}

test("a request without a key, or with an unknown key, is not sent to a replica", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    const unauthorized: Record<string, string>[] = [{}, { "x-key": "unknown" }];
    for (const headers of unauthorized) {
      const response = await rig.call({ headers });
      assert.equal(response.status, 401);
      assert.equal(response.headers["www-authenticate"], "Bearer");
      assert.match(response.body, /unknown_key/);
    }
    assert.equal(receivedRequests(rig).length, 0);
  });
});

test("a replica receives the customer and not the key, whatever headers the caller sends", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    const headers = {
      "X-KEY": "a-key",
      "x-customer": "beta",
      "connection": "x-key, x-customer",
    };
    assert.equal((await rig.call({ headers })).status, 200);
    const [request] = receivedRequests(rig);
    assert.equal(request?.headers.get("x-customer"), "alpha");
    assert.equal(request?.headers.get("x-key"), undefined);
  });
});

test("an anonymous route requires no key, and forwards none", async () => {
  const route = { anonymous: true };
  await withRig({ route, replicas, customers }, async (rig) => {
    const headers = { "x-key": "a-key", "x-customer": "beta" };
    assert.equal((await rig.call({ headers })).status, 200);
    const [request] = receivedRequests(rig);
    assert.equal(request?.headers.get("x-customer"), undefined);
    assert.equal(request?.headers.get("x-key"), undefined);
  });
});

test("without customers, the key header is forwarded unchanged", async () => {
  await withRig({ replicas }, async (rig) => {
    const headers = { "x-key": "own" };
    assert.equal((await rig.call({ headers })).status, 200);
    assert.equal(receivedRequests(rig)[0]?.headers.get("x-key"), "own");
  });
});

test("a revoked key is refused from then on", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ id: "1", headers })).status, 200);
    removeCustomer(rig, "alpha");
    assert.equal((await rig.call({ id: "2", headers })).status, 401);
    assert.equal(receivedRequests(rig).length, 1);
  });
});

test("a request whose key is revoked after its first attempt is not retried", async () => {
  let rig: Rig | undefined;
  const reject: RawAnswer = (request, socket) => {
    if (rig) removeCustomer(rig, "alpha");
    const lines = [`HTTP/1.1 503 Full`, "x-not-run: 1", "content-length: 0"];
    lines.push(`x-id: ${request.headers.get("x-id")}`);
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
  };
  const options = {
    route: { kind: RouteKind.unsafe, attempts: 2 },
    replicas: [{ answer: reject }, { answer: reject }],
    customers,
  };
  await withRig(options, async (started) => {
    rig = started;
    const response = await started.call({ headers: { "x-key": "a-key" } });
    assert.equal(response.status, 401);
    assert.equal(receivedRequests(started).length, 1);
  });
});

test("a host with a stale configuration responds with 503 and sends nothing to a replica", async () => {
  let ageMs = 20_000;
  const configAgeMs = () => ageMs;
  await withRig({ replicas, customers, configAgeMs }, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ id: "1", headers })).status, 200);
    ageMs = 20_001;
    const response = await rig.call({ id: "2", headers });
    assert.equal(response.status, 503);
    assert.ok(Number(response.headers["retry-after"]) > 0);
    // An unknown key may be valid in a newer configuration.
    const unknown = { "x-key": "unknown" };
    assert.equal((await rig.call({ id: "3", headers: unknown })).status, 503);
    assert.equal(receivedRequests(rig).length, 1);
  });
});

test("a host that lacks a newer configuration refuses no key as unknown", async () => {
  await withRig({ replicas, customers }, async (rig) => {
    rig.context.routes.noteVersion(2);
    const unknown = await rig.call({ headers: { "x-key": "unknown" } });
    assert.equal(unknown.status, 503);
    assert.match(unknown.body, /stale_keys/);
    assert.equal((await rig.call()).status, 401);
    const known = await rig.call({ headers: { "x-key": "a-key" } });
    assert.equal(known.status, 200);
    removeCustomer(rig, "beta");
    const refused = await rig.call({ headers: { "x-key": "unknown" } });
    assert.equal(refused.status, 401);
    assert.equal(receivedRequests(rig).length, 1);
  });
});

test("a customer's priority overrides that of the route", async () => {
  const urgent = { ...ALPHA, priority: 0 };
  await withRig({ replicas, customers: [urgent, BETA] }, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ headers })).status, 200);
    const placed = rig.events.find((event) => event.name === "placed");
    assert.equal((placed?.fields as { priority?: number }).priority, 0);
    assert.equal((placed?.fields as { customer?: string }).customer, "alpha");
  });
});

/** Returns `outcome` for each request, or grants it; records all requests. */
function fakeOwner(outcome: QuotaOutcome | undefined) {
  const requested: QuotaRequest[] = [];
  const released: [string, number][] = [];
  const granted = ({ customer, units }: QuotaRequest): QuotaOutcome => ({
    type: "granted",
    afterMs: 0,
    release: () => released.push([customer, units]),
  });
  return {
    requested,
    released,
    quotas: {
      acquire: (request: QuotaRequest) => {
        requested.push(request);
        return Promise.resolve(outcome ?? granted(request));
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

test("a request acquires the tokens that it states, or the default number", async () => {
  const { requested, released, quotas } = fakeOwner(undefined);
  const options = { replicas, customers: [METERED], quotas };
  await withRig(options, async (rig) => {
    const headers = { "x-key": "a-key" };
    const withTokens = { ...headers, "x-tokens": "500,80" };
    assert.equal(
      (await rig.call({ id: "1", headers: withTokens })).status,
      200,
    );
    assert.equal((await rig.call({ id: "2", headers })).status, 200);
  });
  assert.deepEqual(requested.map((request) => request.units), [580, 200]);
  assert.deepEqual(requested[0]?.rate, { perSecond: 1000, burst: 3000 });
  assert.deepEqual(released, []);
});

test("an owner is told the priority of the route if urgent requests go first", async () => {
  for (const quotaPriorities of [false, true]) {
    const { requested, quotas } = fakeOwner(undefined);
    const customer = { ...METERED, priority: 0 };
    const route = { priority: 3 };
    const options = { route, replicas, customers: [customer], quotas };
    await withRig(options, async (rig) => {
      const { tuning } = rig.context;
      const scheduling = { ...tuning.scheduling, quotaPriorities };
      rig.context.tuning = { ...tuning, scheduling };
      await rig.call({ headers: { "x-key": "a-key" } });
    });
    const priorities = requested.map(({ priority }) => priority);
    assert.deepEqual(priorities, [quotaPriorities ? 3 : undefined]);
  }
});

test("a request over the quota is refused with a Retry-After header", async () => {
  const { quotas } = fakeOwner({ type: "refused", retryAfterMs: 1234 });
  const options = { replicas, customers: [METERED], quotas };
  await withRig(options, async (rig) => {
    const response = await rig.call({ headers: { "x-key": "a-key" } });
    assert.equal(response.status, 429);
    assert.equal(response.headers["retry-after"], "1.24");
    assert.equal(receivedRequests(rig).length, 0);
  });
});

test("a request is refused if no quota owner responds", async () => {
  const { quotas } = fakeOwner({ type: "unknown" });
  const options = { replicas, customers: [METERED], quotas };
  await withRig(options, async (rig) => {
    const response = await rig.call({ headers: { "x-key": "a-key" } });
    assert.equal(response.status, 503);
    assert.equal(receivedRequests(rig).length, 0);
  });
});

test("a request that did not run releases its units, one that ran does not", async () => {
  const { released, quotas } = fakeOwner(undefined);
  let isRejecting = false;
  const answerOrReject: RawAnswer = (request, socket) => {
    if (!isRejecting) return void socket.write(completeResponse(request, "ok"));
    const lines = ["HTTP/1.1 503 Full", "x-not-run: 1", "content-length: 0"];
    lines.push(`x-id: ${request.headers.get("x-id")}`);
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
  };
  const options = {
    route: { kind: RouteKind.unsafe, attempts: 1 },
    replicas: [{ answer: answerOrReject }],
    customers: [METERED],
    quotas,
  };
  await withRig(options, async (rig) => {
    const headers = { "x-key": "a-key" };
    assert.equal((await rig.call({ id: "1", headers })).status, 200);
    assert.deepEqual(released, []);
    isRejecting = true;
    assert.equal((await rig.call({ id: "2", headers })).status, 503);
    assert.deepEqual(released, [["alpha", 200]]);
  });
});
