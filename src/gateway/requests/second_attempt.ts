/** Places and sends a second attempt of a safe request that is late. */
import type { PlannerClient } from "../planning/planner_client.ts";
import { RouteKind } from "../routing/model.ts";
import type { Milliseconds } from "../../util/units.ts";
import {
  type Attempt,
  AttemptRace,
  type PendingAttempt,
} from "./attempt_race.ts";
import { createPlacer } from "./create_placer.ts";
import { noteFailedAttempt } from "./failed_send.ts";
import type { Placement, Placer } from "./placement.ts";
import type { RequestJournal } from "./request_journal.ts";
import { RunMeter } from "./run_meter.ts";
import { type RequestState, sendObstacle, sendPlaced } from "./send_placed.ts";
import type { SendResult } from "./sender.ts";

/** The parts of an attempt that last until its response has ended. */
export type Lane = { readonly placer: Placer; readonly meter: RunMeter };

/** An attempt of an exchange. */
export type LaneAttempt = Attempt & Lane;

/** The placement that a request was sent to, and what came of it. */
export type SendOutcome = {
  readonly placed: Placement;
  readonly result: SendResult;
};

/** What a second attempt needs of its request. */
export type SecondAttemptOptions = {
  readonly state: RequestState;
  readonly planner: PlannerClient;
  readonly journal: RequestJournal;
};

/** Creates the placer and the meter of an attempt. */
export function createLane(
  { context, request, attempts }: RequestState,
  planner: PlannerClient,
): Lane {
  const placer = createPlacer({ context, request, planner, attempts });
  return { placer, meter: new RunMeter({ context, request, planner, placer }) };
}

/** Time after which a send may be followed by a second one; undefined: none. */
export function secondAfterMs(
  { context, request }: RequestState,
  { advice }: Placement,
): Milliseconds | undefined {
  const isOn = context.tuning.scheduling.secondAttempts &&
    request.route.kind === RouteKind.safe;
  return isOn ? advice?.secondAfterMs : undefined;
}

/** Waits for a send, and for a second one if the first is late. */
export function raceAttempts(
  options: SecondAttemptOptions,
  first: LaneAttempt,
  afterMs: Milliseconds,
): AttemptRace<LaneAttempt> {
  const { context, attempts } = options.state;
  const race = new AttemptRace({
    clock: context.clock,
    first,
    secondAfterMs: afterMs,
    startSecond: () => startSecond(options, first.placed),
    onFailed: (outcome) =>
      noteFailedAttempt({ attempts, clock: context.clock }, outcome),
  });
  void race.outcome.then(({ attempt }) => {
    if (attempt !== first) context.metrics.count("second_attempts_won");
  });
  return race;
}

function startSecond(
  options: SecondAttemptOptions,
  first: Placement,
): PendingAttempt<LaneAttempt> {
  const lane = createLane(options.state, options.planner);
  return {
    attempt: placeAndSend(options, first, lane),
    cancel: () => lane.placer.end(),
  };
}

async function placeAndSend(
  { state, journal }: SecondAttemptOptions,
  { replica }: Placement,
  lane: Lane,
): Promise<LaneAttempt | undefined> {
  const { context, request, attempts, binding, position } = state;
  const { crashes, metrics, events } = context;
  const isQuarantined = () =>
    crashes.quarantineOf(request.fingerprints) !== undefined;
  if (isQuarantined() || !attempts.acquireSecond()) return undefined;
  const { placer, meter } = lane;
  const { requiredVersion } = binding;
  const { incarnation } = replica.entry;
  const placed = await placer.place({
    excluded: new Set([...attempts.excluded, incarnation]),
    mayHaveRun: true,
    isSecond: true,
    requiredVersion,
  });
  if ("error" in placed) return undefined;
  const mayNot = isQuarantined() || sendObstacle(state) !== undefined ||
    !binding.allows(placed.replica.entry);
  if (mayNot) {
    placer.release();
    return undefined;
  }
  attempts.noteSent();
  binding.noteSend(placed.replica.entry);
  meter.noteSent();
  metrics.count("second_attempts");
  events.note("secondAttempt", {
    request: request.facts.id,
    route: request.route.name,
    first: incarnation,
    replica: placed.replica.entry.incarnation,
  });
  journal.placed(placed, { sends: attempts.sends, position });
  return { ...lane, placed, sending: sendPlaced(state, placed) };
}
