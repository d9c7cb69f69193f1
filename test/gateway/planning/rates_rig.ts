/** Drives measured rates with the reports of complete runs. */
import type { ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { Standing } from "../../../src/gateway/planning/ejection.ts";
import {
  Ledger,
  type LedgerEntry,
} from "../../../src/gateway/planning/ledger.ts";
import { MeasuredRates } from "../../../src/gateway/planning/measured_rates.ts";
import type { PlanProgress } from "../../../src/gateway/planning/messages.ts";
import { replicaEntry } from "../replica_entry.ts";

/** Events and expected output tokens of each run. */
export const EVENTS = 70;

/** Measured rates, and what they logged. */
export type RatesRig = {
  readonly rates: MeasuredRates;
  readonly ledger: Ledger;
  readonly pool: ReplicaEntry[];
  readonly events: { readonly name: string; readonly replica: unknown }[];
  /** Replicas that are ejected. */
  ejected(now: number): string[];
};

/** A pool of replicas of the service "s", all decode replicas by default. */
export function ratesRig(count: number, stage?: ReplicaStage): RatesRig {
  const pool = Array.from(
    { length: count },
    (_, index) =>
      replicaEntry(`r${index}`, {
        hall: `hall${index % 3}`,
        slots: 8,
        stage: stage ?? "decode",
      }),
  );
  const ledger = new Ledger();
  const events: { name: string; replica: unknown }[] = [];
  const rates = new MeasuredRates({
    ledger,
    view: {
      replicasOf: () => pool,
      events: {
        note: (name, fields) =>
          void events.push({ name, replica: fields?.["replica"] }),
      },
      metrics: { count: () => undefined },
    },
  });
  const ejected = (now: number) =>
    pool.map(({ incarnation }) => incarnation)
      .filter((incarnation) => rates.isEjected(incarnation, now));
  return { rates, ledger, pool, events, ejected };
}

/** One assignment, and how it went. */
export type Run = {
  readonly replica: ReplicaEntry;
  readonly now: number;
  /** Time from its first to its last event; undefined: it failed. */
  readonly runMs: number | undefined;
  readonly host?: string;
  readonly hall?: string;
  readonly prefill?: { readonly replica: string; readonly spentMs: number };
};

let runs = 0;

/** Assigns a request at `now`. */
export function grant(
  { rates, ledger }: RatesRig,
  { replica, now, prefill, host = "host", hall = "hall0" }: Omit<Run, "runMs">,
): LedgerEntry {
  const entry: LedgerEntry = {
    id: String(++runs),
    service: "s",
    host,
    hall,
    decode: replica.incarnation,
    tokens: 100,
    prefill: prefill?.replica,
    prefilledBy: prefill?.replica,
    promptTokens: 5000,
    outputTokens: EVENTS,
    priority: 0,
    customer: "",
    key: "",
    tokensAhead: 0,
    grantedAt: now,
    expiresAt: now + 20_000,
  };
  ledger.add(entry);
  rates.noteGrant(entry, now);
  return entry;
}

/** A host's report of an assignment. */
export function report(
  entry: LedgerEntry,
  stage: PlanProgress["stage"],
  details: Partial<PlanProgress> = {},
): PlanProgress {
  return { type: "progress", id: entry.id, stage, ...details };
}

/**
 * Plays an assignment to its end, unless the replica is closed to it. The other
 * replicas have room, so a replica is never needed as a spare.
 */
export function play(rig: RatesRig, run: Run): boolean {
  const { rates, ledger } = rig;
  const { replica, now, runMs, prefill, host = "host", hall = "hall0" } = run;
  const request = { host, hall, repeatable: true, begun: false };
  const standing = rates.standing(replica, request, now);
  if (standing === Standing.closed || standing === Standing.spare) return false;
  const entry = grant(rig, run);
  if (prefill) {
    ledger.endPrefill(entry.id, prefill.spentMs, now);
    rates.notePrefill(entry, prefill.spentMs, now);
  }
  ledger.remove(entry.id);
  const end = runMs === undefined
    ? report(entry, "failed")
    : report(entry, "answered", { events: EVENTS, runMs });
  rates.noteEnd(entry, end, now);
  return true;
}

/** Plays a run at each replica every 300 ms from `from` until `until`. */
export function playAll(
  rig: RatesRig,
  { from, until }: { readonly from: number; readonly until: number },
  runOf: (index: number, now: number) => Partial<Run>,
): void {
  for (let now = from; now < until; now += 300) {
    rig.pool.forEach((replica, index) => {
      const host = `host${(index + now / 300) % 5}`;
      play(rig, { replica, now, host, runMs: 2000, ...runOf(index, now) });
    });
  }
}
