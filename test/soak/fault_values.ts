/** Values of headers by which replicas limit and reject requests. */

/** Limits that replicas report: rates, zero and invalid numbers. */
export const LIMIT_TEXTS = ["1.4", "0.3", "3", "10", "0", "1,4", "abc", "6.5"];
/**
 * Backoffs that replicas require: seconds, zero, an empty text and invalid
 * numbers.
 */
export const BACKOFF_TEXTS = [
  "2.5",
  "1",
  "4",
  "0.3",
  "0",
  "-3",
  "abc",
  "",
  "1e999",
  "2",
];
