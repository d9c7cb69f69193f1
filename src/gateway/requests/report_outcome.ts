/** Reports how a response ended to the planner and to the crash watch. */
import type { GatewayContext } from "../context.ts";
import type { Placement, Placer } from "./placement.ts";
import type { RelayOutcome } from "./relay_outcome.ts";
import type { GatewayRequest } from "./request.ts";
import type { RunMeter } from "./run_meter.ts";
import { noteInterruption } from "./note_interruption.ts";

const FIRST_ERROR_STATUS = 400;
const FIRST_FAILURE_STATUS = 500;

/** The request, and the parts that use the outcome of its responses. */
export type OutcomeReport = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly placer: Placer;
  readonly meter: RunMeter;
};

/** How the response of a placement ended. */
export type PlacementOutcome = {
  readonly placed: Placement;
  readonly status: number;
  readonly outcome: RelayOutcome;
  /** Whether it was the replica that interrupted the response. */
  readonly isByReplica: boolean;
};

/** Reports how a response ended. */
export function reportOutcome(
  { context, request, placer, meter }: OutcomeReport,
  { placed: { replica }, status, outcome, isByReplica }: PlacementOutcome,
): void {
  const { crashes, metrics } = context;
  const { fingerprints } = request;
  switch (outcome) {
    case "complete":
      if (status < FIRST_FAILURE_STATUS) {
        crashes.noteAnswered(fingerprints, status < FIRST_ERROR_STATUS);
      }
      return meter.complete(status);
    case "unconfirmed":
      if (status < FIRST_FAILURE_STATUS) {
        void crashes.noteUnconfirmed(replica.entry, fingerprints);
      }
      // It was answered, but its duration may be that of a part.
      return placer.completed();
    case "unread":
      metrics.count("answers_unread");
      return placer.release();
    case "withheld":
      return placer.release();
    case "interrupted": {
      const { incarnation } = replica.entry;
      const isLocal = context.paths.monitor.isLost(incarnation);
      placer.failed({ rejected: false, isBackoff: false, isLocal });
      return noteInterruption(context, request, replica, {
        sentAt: meter.sentAt,
        endedByReplica: isByReplica,
      });
    }
  }
}
