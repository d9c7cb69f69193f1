/** Ledgers with runs in progress, for tests of forecasts. */
import {
  Ledger,
  type LedgerEntry,
} from "../../../src/gateway/planning/ledger.ts";
import { RunLengths } from "../../../src/gateway/planning/run_lengths.ts";

/** A run in progress. */
export type LedgerRun =
  & Pick<
    LedgerEntry,
    "decode" | "tokens" | "outputTokens"
  >
  & { readonly startedAt: number };

/** A ledger with runs "run0", "run1" and so on. */
export function createLedger(runs: readonly LedgerRun[]): Ledger {
  const ledger = new Ledger();
  for (const [index, run] of runs.entries()) {
    ledger.add(ledgerEntry(`run${index}`, run));
  }
  return ledger;
}

/** The entry of a run in progress. */
export function ledgerEntry(id: string, run: LedgerRun): LedgerEntry {
  return {
    id,
    service: "s",
    host: "h",
    prefill: undefined,
    prefilledBy: undefined,
    promptTokens: 100,
    priority: 1,
    customer: "",
    key: "",
    tokensAhead: 0,
    grantedAt: run.startedAt,
    expiresAt: Infinity,
    ...run,
  };
}

/** Runs take as long as their callers estimate, or up to twice as long. */
export function learnedLengths(): RunLengths {
  const lengths = new RunLengths();
  for (let count = 0; count < 20; count++) {
    lengths.note({ service: "s", priority: 1 }, 1000, 1000 + count * 50);
  }
  return lengths;
}
