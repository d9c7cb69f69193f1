/** Re-exports ts-results, a CommonJS package, with named exports. */
import results from "ts-results";

export type { Result } from "ts-results";
/** Creates a successful result. */
export const Ok = results.Ok;
/** Creates a failed result. */
export const Err = results.Err;
