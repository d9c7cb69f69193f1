/** Runs the planned prefills of a request, each as long as its reservation lasts. */
import type { Milliseconds } from "../../util/units.ts";
import type { Replica } from "../replicas/replica.ts";
import type { EngineAssignmentOptions } from "./engine_assignment.ts";
import { type Export, PrefillRunner } from "./prefill.ts";
import type { Reservation } from "./reservations.ts";

/**
 * A prefill is given up this long before its reservation expires: the decode
 * replica prefills the prompt itself.
 */
const EXPIRY_MARGIN_MS = 300;

/** A prefill that a planner has assigned. */
export type PrefillTask = {
  /** Undefined: the decode replica does it. */
  readonly planned: Replica | undefined;
  readonly reservation: Reservation;
  /** The assignment, while the request has one. */
  readonly assignmentId: () => string | undefined;
};

/** What came of a prefill. */
export type PrefillResult = {
  readonly exported: Export | undefined;
  readonly spentMs: Milliseconds;
};

/** Prefills the prompt of one request. */
export class PlannedPrefill {
  readonly #options: Omit<EngineAssignmentOptions, "engine">;
  #runner: PrefillRunner;

  constructor(options: Omit<EngineAssignmentOptions, "engine">) {
    this.#options = options;
    this.#runner = this.#createRunner();
  }

  #createRunner(): PrefillRunner {
    const { context, request, attempts } = this.#options;
    return new PrefillRunner(context, request, attempts);
  }

  /** Runs a prefill and reports its end to the planner. */
  async run(task: PrefillTask): Promise<PrefillResult> {
    const { planned, reservation: { replica, expiresAt } } = task;
    if (!planned) return { exported: undefined, spentMs: 0 };
    const { context: { clock, tuning }, planner } = this.#options;
    const startedAt = clock.now();
    const runner = this.#runner;
    let isGivenUp = false;
    const cancelTimer = clock.after(
      expiresAt - EXPIRY_MARGIN_MS - startedAt,
      () => {
        isGivenUp = true;
        this.#runner = this.#createRunner();
        runner.end();
      },
    );
    const exported = await runner.run(planned, replica.entry.hall);
    cancelTimer();
    const spentMs: Milliseconds = clock.now() - startedAt;
    const id = task.assignmentId();
    if (id === undefined) return { exported, spentMs };
    // The time that the reservation took isn't the prefill replica's failure.
    const hadNoTime = isGivenUp && spentMs < tuning.prefillTimeoutMs;
    const retryAfterMs = runner.plannedRetryAfterMs ??
      (hadNoTime ? 0 : undefined);
    if (exported?.replica === planned) planner.prefilled(id, spentMs);
    else if (retryAfterMs === undefined) planner.prefillFailed(id);
    else planner.prefillLimited(id, retryAfterMs);
    return { exported, spentMs };
  }

  /** Ends a prefill in progress, and all later ones. */
  end(): void {
    this.#runner.end();
  }

  /** Drops an export that no decode replica will use. */
  dropExport(exported: Export): void {
    this.#runner.dropExport(exported);
  }
}
