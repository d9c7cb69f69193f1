/**
 * Decides whether a host that stops has the time for a request. It is asked
 * again after each wait of a request, and last when its connection to a replica
 * is open.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { EventFields } from "../observe/event_log.ts";
import { type Route, RouteKind } from "../routing/model.ts";
import { stopDeadline } from "../stop_deadline.ts";
import { RunTimes } from "./run_times.ts";

/**
 * Share of the recent runs that would end in time. A run that may not be
 * repeated is refused rather than cut off. For the others a rare long run
 * doesn't outweigh a response at the first attempt.
 */
const IN_TIME_SHARES: Readonly<Record<RouteKind, number>> = {
  [RouteKind.safe]: 0.95,
  [RouteKind.unsafe]: 1,
  [RouteKind.streaming]: 0.95,
};
/** Callers are directed to other hosts by this time after the signal. */
const REDIRECTED_AFTER_MS: Milliseconds = 3000;
/** The process may be scheduled, and so handle the signal, as late as this. */
const SIGNAL_DELAY_MS: Milliseconds = 200;
/** Fewer runs don't show how long others take. */
const MIN_RUNS = 8;
/** Time for a run if too few have been observed. */
const UNOBSERVED_RUN_MS: Readonly<Record<RouteKind, Milliseconds>> = {
  // Its caller repeats it if it is cut off.
  [RouteKind.safe]: 0,
  // Those that come while callers are still directed here are served.
  [RouteKind.unsafe]: 4500,
  // Long streams take about as long; they are refused rather than cut off.
  [RouteKind.streaming]: 4800,
};
/** A run may take a little longer than those before. */
const RUN_MARGIN_MS: Milliseconds = 200;
/** Time for a request whatever was observed. */
const MIN_RUN_MS: Milliseconds = 500;

/** Why a stopping host has no time for a request. */
export type TimeShortage = {
  /** Time until this host ends its open requests. */
  readonly leftMs: Milliseconds;
  /** Time that such a request takes. */
  readonly neededMs: Milliseconds;
};

/** A request as far as its time is concerned. */
export type TimedRequest = {
  readonly route: Route;
  readonly service: string;
  /** When the request ends whether this host stops or not. */
  readonly deadline: Milliseconds;
  /** When it was received whole; absent: it has not been yet. */
  readonly wholeAt?: Milliseconds | undefined;
};

/** Compares the time that a stopping host has left with what requests take. */
export class StopCheck {
  readonly runs = new RunTimes();
  readonly #context: Pick<GatewayContext, "clock" | "stop">;

  constructor(context: Pick<GatewayContext, "clock" | "stop">) {
    this.#context = context;
  }

  /** Why the request can't be finished before this host exits, if it can't. */
  shortageOf(request: TimedRequest): TimeShortage | undefined {
    const { clock, stop } = this.#context;
    const endsAt = stopDeadline(stop);
    if (stop.requestedAt === undefined || endsAt === undefined) {
      return undefined;
    }
    const now = clock.now();
    const { wholeAt = now, deadline } = request;
    const lateAfter = stop.requestedAt + REDIRECTED_AFTER_MS - SIGNAL_DELAY_MS;
    const isLate = wholeAt > lateAfter;
    // Any run may take longer than all before. A late request has other hosts to
    // go to, so none is accepted that may outlast this one.
    const runMs = isLate ? Infinity : this.#runMsOf(request, now);
    const neededMs = Math.max(MIN_RUN_MS, Math.min(runMs, deadline - now));
    const leftMs = endsAt - now;
    return leftMs < neededMs ? { leftMs, neededMs } : undefined;
  }

  #runMsOf(
    { route, service }: TimedRequest,
    now: Milliseconds,
  ): Milliseconds {
    const share = IN_TIME_SHARES[route.kind];
    const key = { service, route: route.name };
    const { runMs, runs } = this.runs.timeOf(key, { share, now });
    const observedMs = runMs + RUN_MARGIN_MS;
    return runs < MIN_RUNS
      ? Math.max(observedMs, UNOBSERVED_RUN_MS[route.kind])
      : observedMs;
  }
}

/** The log fields of a refusal for want of time. */
export function shortageFields(
  shortage: TimeShortage | undefined,
): EventFields {
  if (!shortage) return {};
  return {
    time_left_ms: Math.round(shortage.leftMs),
    time_needed_ms: Math.round(shortage.neededMs),
  };
}
