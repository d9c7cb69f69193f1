/** Seeds of the soak that once failed, each with its cause. */

/** A seed that is played again in each soak. */
export type Regression = { readonly seed: number; readonly cause: string };

/** All such seeds; their causes are told in docs/FINDINGS.md. */
export const REGRESSIONS: readonly Regression[] = [
  { seed: 101, cause: "the harness took ports of the ephemeral range" },
  { seed: 102, cause: "the harness waited for the end of another process" },
  { seed: 625632427, cause: "SIGHUP while the program was still loading" },
];
