/** Reports to the planner how the runs of a request proceed. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { PlannerClient } from "../planning/planner_client.ts";
import { RouteKind } from "../routing/model.ts";
import type { PlacementFailure, Placer } from "./placement.ts";
import type { GatewayRequest } from "./request.ts";
import { type RelayObserver, RunProgress } from "./run_progress.ts";

/** A response with an error status. */
const ERROR_RESPONSE: PlacementFailure = {
  rejected: false,
  isBackoff: false,
  isLocal: false,
  isError: true,
};

/** Options of {@link RunMeter}. */
export type RunMeterOptions = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly planner: PlannerClient;
  readonly placer: Placer;
};

/** Measures the runs of one request, if replica rates are switched on. */
export class RunMeter {
  readonly #options: RunMeterOptions;
  /** When the request was last sent, and the progress of that run. */
  #sentAt: Milliseconds = 0;
  #progress: RunProgress | undefined;

  constructor(options: RunMeterOptions) {
    this.#options = options;
  }

  get #isOn(): boolean {
    return this.#options.context.tuning.scheduling.replicaRates;
  }

  /** When the request was last sent. */
  get sentAt(): Milliseconds {
    return this.#sentAt;
  }

  /** Records that the request is sent to a replica. */
  noteSent(): void {
    this.#sentAt = this.#options.context.clock.now();
    this.#progress = undefined;
  }

  /** Observes the response to the last send; undefined: nothing does. */
  observer(): RelayObserver | undefined {
    const { planner, placer, context } = this.#options;
    const id = placer.assignmentId;
    if (!this.#isOn || id === undefined) return undefined;
    this.#progress = new RunProgress({
      clock: context.clock,
      sentAt: this.#sentAt,
      started: (firstEventMs) => planner.started(id, firstEventMs),
      running: (run) => planner.running(id, run),
      heldUp: () => planner.heldUp(id),
    });
    return this.#progress;
  }

  /** Reports that another attempt was answered first. */
  overtaken(): void {
    const { placer, context } = this.#options;
    placer.overtaken(context.clock.now() - this.#sentAt);
  }

  /** Reports the complete response of the replica. */
  complete(status: number): void {
    const { placer, request, context } = this.#options;
    if (!this.#isOn) return placer.completed();
    if (status >= 500) {
      return placer.failed(ERROR_RESPONSE);
    }
    const isStream = request.route.kind === RouteKind.streaming;
    const runMs = context.clock.now() - this.#sentAt;
    placer.completed(isStream ? this.#progress?.summary : { runMs });
  }
}
