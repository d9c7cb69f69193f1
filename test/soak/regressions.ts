/** Seeds of the soak that once failed, each with its cause. */

/** A seed that is played again in each soak. */
export type Regression = { readonly seed: number; readonly cause: string };

/** All such seeds; their causes are told in docs/FINDINGS.md. */
export const REGRESSIONS: readonly Regression[] = [];
