/**
 * Requests that wait while their host stops. Guards against requests that are
 * sent after a wait although the host exits before their responses, or are cut
 * without one.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { type Customer, RouteKind } from "../../../src/gateway/mod.ts";
import type { CallerServerOptions } from "../../../src/gateway/callers/server.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const GRACE_MS = 8000;
const ROUTE = { kind: RouteKind.unsafe, attempts: 1 };

const answer: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "body"));
};

/** Marks the host as stopping; the watch of its requests runs on its own. */
function requestStop(
  { context: { stop, clock }, callers }: Rig,
  agoMs: number,
): void {
  const requestedAt = stop.requestedAt = clock.now() - agoMs;
  stop.graceMs = GRACE_MS;
  void callers.refuseLate(clock, requestedAt + GRACE_MS);
}

/** Sends a head and a part of its body, and reads until the connection ends. */
function sendPart({ address }: Rig, text: string): Promise<string> {
  const [host = "", port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.write(text);
  return new Promise((resolve) => {
    let received = "";
    socket.on("data", (bytes) => received += bytes.toString("latin1"));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received));
  });
}

function refusalsOf({ events }: Rig): object[] {
  return events.filter(({ name }) => name === "refused")
    .map(({ fields }) => fields);
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

test("a stopping host stops waiting for a body when the time for its run is over", async () => {
  const options = { route: ROUTE, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const received = sendPart(
      rig,
      "POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n" +
        "Content-Length: 10\r\n\r\nbody",
    );
    await waitUntil(() => rig.callers.openRequestCount === 1);
    requestStop(rig, GRACE_MS / 2);
    const text = await received;
    assert.match(text, /^HTTP\/1\.1 503 /);
    assert.match(text, /\r\nConnection: close\r\n/i);
    assert.deepEqual(rig.replicas[0]?.requests, []);
    const [refusal] = refusalsOf(rig) as Record<string, unknown>[];
    assert.equal(refusal?.["error"], "stopping");
    assert.ok(Number(refusal?.["time_left_ms"]) <= GRACE_MS / 2);
    assert.ok(
      Number(refusal?.["time_needed_ms"]) > Number(refusal?.["time_left_ms"]),
    );
  });
});

const CUSTOMER: Customer = {
  name: "customer",
  keyDigests: ["digest of key"],
  quota: { unit: "requests", perSecond: 1, burst: 1, plainUnits: 1 },
};

test("a stopping host refuses a request that waits for quota units, and returns them", async () => {
  let returned = 0;
  let grant: () => void = () => undefined;
  const granted = new Promise<void>((resolve) => grant = resolve);
  const quotas: CallerServerOptions["quotas"] = {
    acquire: async () => {
      await granted;
      return { type: "granted", afterMs: 0, release: () => returned += 1 };
    },
  };
  const options = {
    route: ROUTE,
    replicas: [{ answer }],
    customers: [CUSTOMER],
    quotas,
  };
  await withRig(options, async (rig) => {
    const response = rig.call({ headers: { "x-key": "key" } });
    await waitUntil(() => rig.callers.openRequestCount === 1);
    requestStop(rig, GRACE_MS / 2);
    assert.equal((await response).status, 503);
    grant();
    await waitUntil(() => returned === 1);
    assert.deepEqual(rig.replicas[0]?.requests, []);
  });
});

test("a host that ends its requests reports how many it cut and refused", async () => {
  const silent: RawAnswer = () => undefined;
  const options = { route: ROUTE, replicas: [{ answer: silent }] };
  await withRig(options, async (rig) => {
    const { clock } = rig.context;
    const running = rig.call({ id: "1" });
    await rig.waitForRequests(1);
    const received = sendPart(
      rig,
      "POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: 2\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
    );
    await waitUntil(() => rig.callers.openRequestCount === 2);
    rig.context.stop.requestedAt = clock.now();
    const drained = await rig.callers.drain(clock, clock.now());
    assert.deepEqual(
      drained,
      { cut: 1, refused: 1, unsent: 0, unstarted: 0, unfinished: 1 },
    );
    assert.equal((await running).status, 502);
    assert.match(await received, /^HTTP\/1\.1 503 /);
  });
});
