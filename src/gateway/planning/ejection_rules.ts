/**
 * Decides by comparison with its pool whether a replica is far too slow, or
 * stopped answering. The load that it answers: replicas that become several
 * times slower, or silent, for some seconds.
 */
import type { Milliseconds } from "../../util/units.ts";
import { type EjectionCause, EjectionReason } from "./ejection.ts";
import type { OpenRuns } from "./run_watch.ts";
import type { SpeedModel } from "./speed_model.ts";

/**
 * Slowness, as a logarithm, at which a replica is ejected, in addition to what
 * is usual for it: a replica that is always slower is given less by its speed.
 */
const EJECT_SLOWNESS = Math.log(3);
const MAX_USUAL_SLOWNESS = Math.log(2.5);
/** Overdue runs, and their share, at which a replica counts as silent. */
const SILENT_MIN_RUNS = 3;
const SILENT_MIN_SHARE = 0.5;
/** No ejection when this share of all other runs is overdue as well. */
const SILENT_MAX_OTHERS = 0.25;
/** Calls in a row that another attempt overtook, as at a silent replica. */
const SILENT_OVERTAKEN = 8;

/** The cause to eject a replica that is far slower than its pool. */
export function slownessCause(
  speeds: SpeedModel,
  incarnation: string,
  now: Milliseconds,
): EjectionCause | undefined {
  const slowness = speeds.latestSlowness(incarnation, now);
  if (slowness === undefined || slowness < EJECT_SLOWNESS) return undefined;
  const steady = speeds.steadySlowness(incarnation, now);
  const usual = Math.max(0, Math.min(MAX_USUAL_SLOWNESS, steady));
  if (slowness < EJECT_SLOWNESS + usual) return undefined;
  const figures = { times_slower: Number(Math.exp(slowness).toFixed(2)) };
  return { reason: EjectionReason.slow, figures };
}

/**
 * The cause to eject a replica of which most runs are overdue, for more than
 * one host if several use it; `ofService` are the runs of the whole service.
 */
export function silenceCause(
  runs: OpenRuns,
  ofService: readonly OpenRuns[],
): EjectionCause | undefined {
  const { open, overdue, hosts, overdueHosts } = runs;
  if (overdue < SILENT_MIN_RUNS) return undefined;
  if (overdue < SILENT_MIN_SHARE * open) return undefined;
  if (overdueHosts.size === 1 && hosts.size > 1) return undefined;
  const others = ofService.filter((other) => other !== runs);
  const othersOpen = others.reduce((sum, other) => sum + other.open, 0);
  const othersOverdue = others.reduce((sum, other) => sum + other.overdue, 0);
  if (othersOverdue > SILENT_MAX_OTHERS * othersOpen) return undefined;
  return { reason: EjectionReason.silent, figures: { overdue, open } };
}

/** The cause to eject a replica whose last calls were all overtaken. */
export function overtakenCause(inRow: number): EjectionCause | undefined {
  if (inRow < SILENT_OVERTAKEN) return undefined;
  return { reason: EjectionReason.silent, figures: { overtaken: inRow } };
}
