/**
 * Guards against responses of replicas without a length or chunks that are cut
 * and reach callers framed as complete.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import {
  ConnectionEnd,
  Framing,
  type ResponseCut,
  type ResponseShape,
} from "../platform/response_standin.ts";
import { EVENT_END } from "../platform/stream_standin.ts";
import { CallKind, type CallResult } from "./call.ts";
import {
  BUDGET_AGE_MS,
  runCallers,
  runCallersUntil,
  type TestFleet,
  withFleet,
} from "./test_fleet.ts";
import { sleep } from "./sleep.ts";
import { isOwnAndComplete, isUnnoticedCut } from "./whole_responses.ts";

const RUN_MS = 3000;
/** So few that the retry budget allows the retries of all of them. */
const REQUESTS_PER_CUT = 10;
/** Responses that must have been cut for a verdict. */
const MIN_CUTS = 12;
const FIRST_EVENT_TO_CUT = 3;
const EVENTS_TO_CUT = 12;

/** Cuts inside an event, at another one and another byte each time. */
function cutInsideEvents(): ResponseCut {
  let count = 0;
  return {
    end: ConnectionEnd.fin,
    position: (body) => {
      count += 1;
      const start = endOfEvent(body, count % EVENTS_TO_CUT);
      const end = endOfEvent(body, count % EVENTS_TO_CUT + 1);
      return start + 1 + count % (end - start - 1);
    },
  };
}

/** Cuts a stream behind an event, and a plain body in its middle. */
function cutBetweenEvents(): ResponseCut {
  return {
    end: ConnectionEnd.fin,
    position: (body) =>
      body.includes(EVENT_END)
        ? endOfEvent(body, FIRST_EVENT_TO_CUT)
        : Math.floor(body.length / 2),
  };
}

/** The end of the event after the given number of others; 0 if there is none. */
function endOfEvent(body: string, others: number): number {
  const texts = body.split(EVENT_END).slice(0, others + 1);
  return texts.join(EVENT_END).length + EVENT_END.length;
}

/** Sets how all replicas but those for prefills respond. */
function shapeResponses(
  { world }: TestFleet,
  shapeResponse: (request: string) => ResponseShape,
): void {
  for (const { standin } of world.readyReplicas()) {
    if (standin.role !== "prefill") standin.shapeResponse = shapeResponse;
  }
}

/** Runs callers for a time, and on until enough responses have been cut. */
function runUntilCut(
  fleet: TestFleet,
  kinds: readonly CallKind[],
): Promise<CallResult[]> {
  const endsAt = performance.now() + RUN_MS;
  return runCallersUntil(fleet, {
    kinds,
    condition: () =>
      performance.now() >= endsAt && fleet.world.cuts.length >= MIN_CUTS,
    what: `${MIN_CUTS} responses are cut`,
  });
}

/**
 * Asserts that no response looks whole that isn't, and that all are framed: the
 * end of a host would look like the end of those that aren't.
 */
function assertNoneLooksWhole(
  { world }: TestFleet,
  results: readonly CallResult[],
): void {
  const wrong = results.filter((result) =>
    result.status === 200 && result.isComplete &&
    !isOwnAndComplete(result) && !isUnnoticedCut(result, world.cuts)
  );
  const [first] = wrong;
  const unframed = results.filter(({ status, framing }) =>
    status === 200 && framing === Framing.none
  );
  assert.equal(unframed.length, 0, `${unframed.length} are not framed`);
  assert.ok(world.cuts.length >= MIN_CUTS, `${world.cuts.length} cuts`);
  assert.equal(
    wrong.length,
    0,
    `${wrong.length} of ${world.cuts.length} cut responses look whole, the ` +
      `first one ${first?.id} with framing ${first?.framing}: ` +
      JSON.stringify(first?.body),
  );
}

const UNFRAMED: ResponseShape = { framing: Framing.none, isCloseOmitted: true };

const STREAM_CUT =
  "a stream without framing that is cut inside an event reaches its caller broken off";
test(STREAM_CUT, knownRed(STREAM_CUT), async () => {
  await withFleet(async (fleet) => {
    const cut = cutInsideEvents();
    shapeResponses(fleet, () => ({ ...UNFRAMED, cut }));
    const results = await runUntilCut(fleet, [CallKind.stream]);
    assertNoneLooksWhole(fleet, results);
  });
});

const RESUMABLE_CUT =
  "a resumable stream without framing that is cut inside an event goes on elsewhere";
test(RESUMABLE_CUT, knownRed(RESUMABLE_CUT), async () => {
  await withFleet(async (fleet) => {
    await sleep(BUDGET_AGE_MS);
    const cut = cutInsideEvents();
    const seenRequests = new Set<string>();
    const cutRequests = new Set<string>();
    shapeResponses(fleet, (request) => {
      if (seenRequests.has(request)) return UNFRAMED;
      seenRequests.add(request);
      if (seenRequests.size % REQUESTS_PER_CUT !== 0) return UNFRAMED;
      cutRequests.add(request);
      return { ...UNFRAMED, cut };
    });
    const results = await runUntilCut(fleet, [CallKind.resumable]);
    assertNoneLooksWhole(fleet, results);
    // Other replicas have capacity for all of them.
    const wentOn = results.filter((result) =>
      cutRequests.has(result.id) && isOwnAndComplete(result)
    );
    const share = `${wentOn.length} of ${cutRequests.size}`;
    assert.ok(wentOn.length >= cutRequests.size / 2, share);
  });
});

const EVENT_END_CUT =
  "a response without framing reaches its caller framed, also if it was cut";
test(EVENT_END_CUT, knownRed(EVENT_END_CUT), async () => {
  await withFleet(async (fleet) => {
    const cut = cutBetweenEvents();
    shapeResponses(fleet, () => ({ ...UNFRAMED, cut }));
    const results = await runUntilCut(fleet, Object.values(CallKind));
    assertNoneLooksWhole(fleet, results);
  });
});

const WHOLE = "whole responses without framing are served";
test(WHOLE, knownRed(WHOLE), async () => {
  await withFleet(async (fleet) => {
    shapeResponses(fleet, () => UNFRAMED);
    const kinds = Object.values(CallKind);
    const results = await runCallers(fleet, { kinds, forMs: RUN_MS });
    const notServed = results.filter((result) =>
      result.status !== 200 || !result.isComplete || !isOwnAndComplete(result)
    );
    assert.deepEqual(notServed, []);
  });
});
