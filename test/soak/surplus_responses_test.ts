/**
 * Guards against surplus responses of replicas that are taken for those of other
 * calls: callers got 503 for requests that ran, the error of another request, and
 * some requests ran twice.
 */
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { test } from "node:test";
import { CallKind } from "./call.ts";
import { checkAtMostOnce, checkRefusals } from "./checks.ts";
import { runCallersUntil, withFleet } from "./test_fleet.ts";
import { isOwnAndComplete } from "./whole_responses.ts";

/** One connection for each of the four hosts, so that requests wait for it. */
const CONNECTION_LIMIT = 5;
/** One call in this many on a connection follows a surplus response. */
const SURPLUS_ONE_IN = 4;
/** Surplus responses of each kind that must have been sent for a verdict. */
const MIN_SURPLUS = 25;
/** Requests that must have been served for a verdict. */
const MIN_SERVED = 100;

function errorText(status: number, headers: readonly string[] = []): string {
  const lines = [`HTTP/1.1 ${status} Error`, ...headers, "Content-Length: 0"];
  return [...lines, "", ""].join("\r\n");
}

const REFUSAL = "Not-Executed: 1";

/** Kinds of surplus responses, by the id of the call before, if it had one. */
const SURPLUS: readonly ((earlier: string | undefined) => string)[] = [
  () => errorText(503, [REFUSAL]),
  () => errorText(404),
  (earlier) => {
    const named = earlier === undefined ? [] : [`Attempt-Id: ${earlier}`];
    return errorText(503, [REFUSAL, ...named]);
  },
];

/** Surplus responses of all kinds in turn, on connections in use. */
class SurplusSource {
  readonly #calls = new WeakMap<Socket, { count: number; id?: string }>();
  #sent = 0;

  /** Number of surplus responses of each kind. */
  get sentOfEach(): number {
    return Math.floor(this.#sent / SURPLUS.length);
  }

  next({ socket, headers }: IncomingMessage): string {
    const calls = this.#calls.get(socket) ?? { count: 0 };
    const { id: earlier, count } = calls;
    const id = headers["attempt-id"];
    this.#calls.set(socket, {
      count: count + 1,
      ...(typeof id === "string" ? { id } : {}),
    });
    const isDue = (count + 1) % SURPLUS_ONE_IN === 0;
    if (!isDue) return "";
    const kind = SURPLUS[this.#sent % SURPLUS.length];
    this.#sent += 1;
    return kind?.(earlier) ?? "";
  }
}

test("surplus responses break no promise to the callers of requests that wait for connections", async () => {
  await withFleet(async (fleet) => {
    const { world } = fleet;
    const source = new SurplusSource();
    for (const { standin } of world.readyReplicas()) {
      standin.surplusBytes = (request) => source.next(request);
    }
    const calls = await runCallersUntil(fleet, {
      kinds: [CallKind.unsafe, CallKind.safe, CallKind.stream],
      condition: (results) =>
        source.sentOfEach >= MIN_SURPLUS &&
        results.filter(({ status }) => status === 200).length >= MIN_SERVED,
      what: "surplus responses are sent",
    });
    const { arrivals } = world;
    assert.deepEqual(checkRefusals({ calls, arrivals }), []);
    assert.deepEqual(checkAtMostOnce({ calls, arrivals }), []);
    const wrong = calls.filter((call) =>
      call.status === 404 ||
      (call.status === 200 && call.isComplete && !isOwnAndComplete(call))
    );
    assert.deepEqual(wrong.map(({ id, status }) => ({ id, status })), []);
  }, { connectionLimit: CONNECTION_LIMIT });
});
