/**
 * Tells whether a replica still runs as its entry lists it. Calls carry only the
 * id of a replica, so that one that has started again under its id and at its
 * address accepts them, whatever its software version is now.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { afterRunning } from "../running_timer.ts";
import { callEngine } from "./engine_call.ts";

/** Timeout of one report. A caller waits for it when its stream is taken up. */
const REPORT_TIMEOUT_MS: Milliseconds = 400;
/** Pause after a response without a report. */
const RETRY_PAUSE_MS: Milliseconds = 50;
/** Maximum number of replicas whose ends are stored. */
const MAX_REPLICAS = 3000;

const FIRST_REJECTION_STATUS = 429;
const NOT_IMPLEMENTED_STATUS = 501;

/** What a replica has told of its start. */
export const StartFinding = {
  /** It runs as it is listed. */
  asListed: "asListed",
  /** It has started again. */
  other: "other",
  /** Its entry, or what it reports, names no start. */
  notReported: "notReported",
  /** It hasn't reported in time. */
  silent: "silent",
} as const;
/** One of the values of {@link StartFinding}. */
export type StartFinding = typeof StartFinding[keyof typeof StartFinding];

/** Options of {@link StartChecks}. */
export type StartChecksOptions = Pick<
  GatewayContext,
  "pool" | "dialect" | "clock" | "gate" | "events" | "metrics"
>;

/** Asks replicas for their starts, each at most once at a time. */
export class StartChecks {
  readonly #options: StartChecksOptions;
  /** Questions in progress, by incarnation. */
  readonly #asked = new Map<string, Promise<StartFinding>>();
  /** Questions to ask after those in progress. */
  readonly #next = new Map<string, Promise<StartFinding>>();
  /**
   * Incarnations that may have ended, with the number of signs of it: calls that
   * they broke off or refused.
   */
  readonly #mayHaveEnded = new Map<string, number>();

  constructor(options: StartChecksOptions) {
    this.#options = options;
  }

  /**
   * Asks a replica of a model engine for its start, again while it is silent or
   * rejects the call. If it runs as it is listed, so does the process that sent
   * any response before: an address belongs to one process at a time. The timeout
   * counts the time for which this process runs.
   */
  async find(
    entry: ReplicaEntry,
    timeoutMs: Milliseconds,
  ): Promise<StartFinding> {
    const { clock } = this.#options;
    let isOver = false;
    const cancel = afterRunning(
      clock,
      timeoutMs - RETRY_PAUSE_MS,
      () => isOver = true,
    );
    try {
      for (;;) {
        const finding = await this.findOnce(entry);
        if (finding !== "silent" || isOver) return finding;
        await sleep(clock, RETRY_PAUSE_MS);
      }
    } finally {
      cancel();
    }
  }

  /** Records a sign that the process of a replica has ended. */
  noteEnd({ incarnation }: ReplicaEntry): void {
    const signs = this.#mayHaveEnded.get(incarnation) ?? 0;
    this.#mayHaveEnded.delete(incarnation);
    this.#mayHaveEnded.set(incarnation, signs + 1);
    evictOldest(this.#mayHaveEnded, MAX_REPLICAS);
  }

  /**
   * Whether the replica has shown signs of an end, and hasn't confirmed its start
   * since. It may have started again, with another software version.
   */
  mayHaveEnded({ incarnation }: ReplicaEntry): boolean {
    return this.#mayHaveEnded.has(incarnation);
  }

  /** Like {@link find}, but asks once. */
  async findOnce(entry: ReplicaEntry): Promise<StartFinding> {
    if (entry.stage === undefined || entry.born === undefined) {
      return "notReported";
    }
    return await this.#ask(entry);
  }

  /**
   * Asks now, or shares the question that follows the one in progress: that one
   * may have been answered before the response whose sender is in question.
   */
  #ask(entry: ReplicaEntry): Promise<StartFinding> {
    const { incarnation } = entry;
    const current = this.#asked.get(incarnation);
    if (!current) return this.#start(entry);
    // Whoever asked first handles the error of that question.
    const ended = current.catch(() => undefined);
    const next = this.#next.get(incarnation) ?? ended.then(() => {
      this.#next.delete(incarnation);
      return this.#start(entry);
    });
    this.#next.set(incarnation, next);
    return next;
  }

  #start(entry: ReplicaEntry): Promise<StartFinding> {
    const { incarnation } = entry;
    const signs = this.#mayHaveEnded.get(incarnation);
    const asked = askOnce(this.#options, entry);
    this.#asked.set(incarnation, asked);
    return asked.then((finding) => {
      const isCurrent = this.#mayHaveEnded.get(incarnation) === signs;
      if (finding === "asListed" && isCurrent) {
        this.#mayHaveEnded.delete(incarnation);
      }
      return finding;
    }).finally(() => {
      if (this.#asked.get(incarnation) === asked) {
        this.#asked.delete(incarnation);
      }
    });
  }
}

async function askOnce(
  context: StartChecksOptions,
  entry: ReplicaEntry,
): Promise<StartFinding> {
  const { dialect } = context;
  const answer = await callEngine(context, entry, {
    call: dialect.report,
    timeoutMs: REPORT_TIMEOUT_MS,
  });
  if (!answer || isRejection(answer.status)) return "silent";
  const born = dialect.readReport(answer.body)?.born;
  if (born === undefined) return "notReported";
  return born === entry.born ? "asListed" : "other";
}

/** Whether a later call may be answered. */
function isRejection(status: number): boolean {
  return status >= FIRST_REJECTION_STATUS && status !== NOT_IMPLEMENTED_STATUS;
}
