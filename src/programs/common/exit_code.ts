/** Exit codes of all programs. */
export const ExitCode = {
  ok: 0,
  /** The work could not be done. */
  failure: 1,
  /** A faulty command line or settings file. */
  usage: 2,
  /** A publish met a conflict. */
  conflict: 3,
  /** It is not known whether the work was done. */
  unknown: 4,
} as const;
