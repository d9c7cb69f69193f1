/**
 * Waits for a send, and for a second one at another replica if the first is
 * late. The first response that is no error ends the other send.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Placement, Placer } from "./placement.ts";
import type { RunMeter } from "./run_meter.ts";
import { AbortReason, type Sending, type SendResult } from "./sender.ts";

const FIRST_ERROR_STATUS = 500;

/** One send of a request, and the parts to which its end is reported. */
export type Attempt = {
  readonly placed: Placement;
  readonly placer: Placer;
  readonly meter: Pick<RunMeter, "overtaken">;
  readonly sending: Sending;
};

/** The send that decides, and its result. */
export type RaceOutcome<Entrant extends Attempt> = {
  readonly attempt: Entrant;
  readonly result: SendResult;
};

/** A second send that is being placed. */
export type PendingAttempt<Entrant extends Attempt> = {
  /** Undefined: there is none. */
  readonly attempt: Promise<Entrant | undefined>;
  cancel(): void;
};

/** Options of {@link AttemptRace}. */
export type AttemptRaceOptions<Entrant extends Attempt> = {
  readonly clock: Pick<Clock, "after">;
  readonly first: Entrant;
  /** When the second send is placed, counted from the first. */
  readonly secondAfterMs: Milliseconds;
  /** Places and sends the request again, if it may. */
  startSecond(): PendingAttempt<Entrant>;
  /** Called for a send that failed while the other one goes on. */
  onFailed(outcome: RaceOutcome<Entrant>): void;
};

/** Two sends of one request, of which one decides. */
export class AttemptRace<Entrant extends Attempt> {
  readonly #options: AttemptRaceOptions<Entrant>;
  readonly #open = new Set<Entrant>();
  readonly #cancelTimer: () => void;
  #pending: PendingAttempt<Entrant> | undefined;
  #isOver = false;
  #resolve: (outcome: RaceOutcome<Entrant>) => void = () => undefined;
  /** The send that decides. */
  readonly outcome: Promise<RaceOutcome<Entrant>>;

  constructor(options: AttemptRaceOptions<Entrant>) {
    this.#options = options;
    this.outcome = new Promise((resolve) => this.#resolve = resolve);
    this.#cancelTimer = options.clock.after(
      options.secondAfterMs,
      () => void this.#startSecond(),
    );
    this.#add(options.first);
  }

  /** Ends both sends, because the request has ended. */
  abort(reason: string): void {
    if (this.#isOver) return;
    const { first } = this.#options;
    const result = { type: "unknown", reason, isLocal: false } as const;
    const open = [...this.#open];
    this.#decide({ attempt: first, result });
    for (const { sending, placer } of open) {
      sending.abort(reason);
      placer.end();
    }
  }

  /** Whether more than one send is in progress, or the only one has started. */
  hasStarted(): boolean {
    const [only, other] = this.#open;
    return !only || other !== undefined || only.sending.hasStarted();
  }

  async #startSecond(): Promise<void> {
    const pending = this.#pending = this.#options.startSecond();
    const attempt = await pending.attempt;
    this.#pending = undefined;
    if (!attempt) return;
    if (this.#isOver) return endOvertaken(attempt);
    this.#add(attempt);
  }

  #add(attempt: Entrant): void {
    this.#open.add(attempt);
    void attempt.sending.result.then((result) =>
      this.#handle({ attempt, result })
    );
  }

  #handle(outcome: RaceOutcome<Entrant>): void {
    const { attempt, result } = outcome;
    if (this.#isOver) {
      if (result.type === "answer") result.answer.message.destroy();
      return;
    }
    this.#open.delete(attempt);
    if (!isGood(result) && this.#open.size > 0) {
      return this.#options.onFailed(outcome);
    }
    const overtaken = [...this.#open];
    this.#decide(outcome);
    for (const other of overtaken) endOvertaken(other);
  }

  #decide(outcome: RaceOutcome<Entrant>): void {
    this.#isOver = true;
    this.#open.clear();
    this.#cancelTimer();
    this.#pending?.cancel();
    this.#resolve(outcome);
  }
}

/** Whether a result is a response that is no error. */
function isGood(result: SendResult): boolean {
  if (result.type !== "answer") return false;
  const { statusCode = FIRST_ERROR_STATUS } = result.answer.message;
  return statusCode < FIRST_ERROR_STATUS;
}

function endOvertaken({ sending, meter, placer }: Attempt): void {
  meter.overtaken();
  placer.end();
  sending.abort(AbortReason.overtaken);
}
