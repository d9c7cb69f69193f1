/** Keys that are revoked while a request to a model engine is placed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Customer,
  ReplicaStage,
  type RouteConfig,
} from "../../../src/gateway/mod.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { healthy } from "../requests/notice_rig.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const customers: readonly Customer[] = [
  { name: "alpha", keyDigests: ["digest of a-key"] },
];
const headers = { "x-key": "a-key", "x-tokens": "10,10" };

/** Applies a configuration in which no key is valid. */
function revokeAll({ context: { routes } }: Rig): void {
  const config = routes.config as RouteConfig;
  routes.adopt({ ...config, version: config.version + 1, customers: [] });
}

/** Calls a rig whose decode replica revokes the key when it is reserved. */
async function callAndRevoke(onReservation: RawAnswer): Promise<{
  readonly status: number;
  /** Paths of the requests by replica. */
  readonly paths: readonly (readonly string[])[];
}> {
  let rig: Rig | undefined;
  const revokes: RawAnswer = (request, socket) => {
    if (!request.path.startsWith("/reserve")) return healthy(request, socket);
    if (rig) revokeAll(rig);
    onReservation(request, socket);
  };
  const options = {
    engine: ENGINE,
    route: { kind: "streaming" as const },
    replicas: [
      { answer: revokes, stage: ReplicaStage.decode },
      { answer: healthy, stage: ReplicaStage.prefill },
    ],
    customers,
  };
  return await withRigResult(options, async (started) => {
    rig = started;
    const { status } = await started.call({ headers });
    const paths = started.replicas.map(({ requests }) =>
      requests.map(({ path }) => path)
    );
    return { status, paths };
  });
}

async function withRigResult<T>(
  options: Parameters<typeof withRig>[0],
  run: (rig: Rig) => Promise<T>,
): Promise<T> {
  const results: T[] = [];
  await withRig(options, async (rig) => void results.push(await run(rig)));
  const [result] = results;
  assert.ok(result !== undefined);
  return result;
}

test("a request whose key is revoked before its prefill is not sent to a prefill replica", async () => {
  const { status, paths: [, prefills] } = await callAndRevoke(healthy);
  assert.equal(status, 401);
  assert.deepEqual(prefills, []);
});

test("a request whose key is revoked while it waits for memory reserves none", async () => {
  const rejects: RawAnswer = (request, socket) => {
    const rejection = completeResponse(request, "full")
      .replace(/^HTTP\/1\.1 200 \w*/, "HTTP/1.1 409 Full");
    socket.write(rejection);
  };
  const { status, paths: [reservations] } = await callAndRevoke(rejects);
  assert.equal(status, 401);
  assert.equal(reservations?.length, 1);
});
