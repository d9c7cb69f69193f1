/**
 * Follows the runs that a planner has assigned, and finds those that are
 * overdue. The load that it answers: replicas that accept requests and stop
 * answering, which no completed request reveals.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { LedgerEntry } from "./ledger.ts";
import type { PlanProgress } from "./messages.ts";

/** Maximum number of runs of a service that are followed. */
const MAX_RUNS = 20_000;

type Run = {
  readonly entry: LedgerEntry;
  /** The replica that works on it now. */
  replica: string;
  /** When its next report is overdue. */
  overdueAt: Milliseconds;
  events: number;
  runMs: Milliseconds;
};

/** A part of a run. */
export type RunPart = { readonly events: number; readonly ms: Milliseconds };

/** Runs in progress at one replica. */
export type OpenRuns = {
  /** All runs, and the hosts that wait for them. */
  open: number;
  readonly hosts: Set<string>;
  /** Overdue runs, and the hosts that wait for those. */
  overdue: number;
  readonly overdueHosts: Set<string>;
};

/** Runs of one service in progress, by assignment. */
export class RunWatch {
  readonly #runs = new Map<string, Run>();

  /** Begins to follow an assignment. */
  begin(entry: LedgerEntry, overdueAt: Milliseconds): void {
    const replica = entry.prefill ?? entry.decode;
    this.#runs.set(entry.id, {
      entry,
      replica,
      overdueAt,
      events: 0,
      runMs: 0,
    });
    evictOldest(this.#runs, MAX_RUNS);
  }

  /** Records that the prefill ended: the decode replica is next. */
  endPrefill({ id, decode }: LedgerEntry, overdueAt: Milliseconds): void {
    const run = this.#runs.get(id);
    if (!run) return;
    run.replica = decode;
    run.overdueAt = overdueAt;
  }

  /**
   * Records a report, and returns the part of the run since the previous one;
   * undefined if the report is late, repeated, or contains no events.
   */
  note(
    entry: LedgerEntry,
    { events, runMs }: PlanProgress,
    overdueAt: Milliseconds,
  ): RunPart | undefined {
    if (!this.#runs.has(entry.id)) this.begin(entry, overdueAt);
    const run = this.#runs.get(entry.id);
    if (!run) return undefined;
    run.replica = entry.decode;
    run.overdueAt = overdueAt;
    if (events === undefined || runMs === undefined) return undefined;
    const part = { events: events - run.events, ms: runMs - run.runMs };
    if (part.events <= 0 || part.ms <= 0) return undefined;
    run.events = events;
    run.runMs = runMs;
    return part;
  }

  /** Stops following an assignment. */
  end(id: string): void {
    this.#runs.delete(id);
  }

  /** The runs in progress, by replica; drops those that `isOpen` denies. */
  openRuns(
    isOpen: (id: string) => boolean,
    now: Milliseconds,
  ): Map<string, OpenRuns> {
    const byReplica = new Map<string, OpenRuns>();
    for (const [id, { entry, replica, overdueAt }] of this.#runs) {
      if (!isOpen(id)) {
        this.#runs.delete(id);
        continue;
      }
      const runs = byReplica.get(replica) ?? {
        open: 0,
        hosts: new Set<string>(),
        overdue: 0,
        overdueHosts: new Set<string>(),
      };
      byReplica.set(replica, runs);
      runs.open += 1;
      runs.hosts.add(entry.host);
      if (now < overdueAt) continue;
      runs.overdue += 1;
      runs.overdueHosts.add(entry.host);
    }
    return byReplica;
  }
}
