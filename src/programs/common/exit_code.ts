/** Exit codes of all programs. */
export const ExitCode = {
  ok: 0,
  /** The operation failed. */
  failure: 1,
  /** A faulty command line or settings file. */
  usage: 2,
  /** A publish was rejected because of a conflicting change. */
  conflict: 3,
  /** Unknown whether the operation took effect, or only part of it did. */
  unknown: 4,
} as const;
