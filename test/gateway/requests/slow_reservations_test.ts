/**
 * Guards against streams that are all refused where every call is slow: each
 * reservation timed out at once and was repeated.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import type { RawAnswer, RawRequest } from "../raw_replica.ts";
import { ENGINE, withRig } from "../rig.ts";
import { TEST_TUNING } from "../test_tuning.ts";
import { healthy } from "./notice_rig.ts";

const RESERVE_TIMEOUT_MS = 100;
/** More than the first timeout and less than the longest one. */
const RESERVATION_MS = 250;
const STREAM = { "x-tokens": "10,10", "x-patience": "5000" };

const isReservation = ({ method, path }: RawRequest) =>
  method === "POST" && path.startsWith("/reserve");

const slow: RawAnswer = (request, socket) => {
  const delayMs = isReservation(request) ? RESERVATION_MS : 0;
  setTimeout(() => healthy(request, socket), delayMs);
};

test("a stream is served though each reservation takes longer than its first timeout", async () => {
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [{ answer: slow, stage: ReplicaStage.decode }],
  }, async (rig) => {
    const tuning = { ...TEST_TUNING, reserveTimeoutMs: RESERVE_TIMEOUT_MS };
    Object.assign(rig.context, { tuning });
    const { status } = await rig.call({ headers: STREAM });
    assert.equal(status, 200);
    const reservations = rig.replicas[0]?.requests.filter(isReservation);
    assert.equal(reservations?.length, 1);
  });
});
