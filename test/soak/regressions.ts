/** Regression seeds of the soak. */

/** A seed that failed before and is rerun in each soak. */
export type Regression = { readonly seed: number; readonly cause: string };

/** docs/FINDINGS.md describes the causes. */
export const REGRESSIONS: readonly Regression[] = [
  { seed: 101, cause: "the harness took ports of the ephemeral range" },
  { seed: 102, cause: "the harness waited for the end of another process" },
  { seed: 625632427, cause: "SIGHUP while the program was still loading" },
];
