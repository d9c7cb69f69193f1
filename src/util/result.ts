/** ts-results as ES modules can import it on Node 20. */
import results from "ts-results";

export type { Result } from "ts-results";
/** Makes a good result. */
export const Ok = results.Ok;
/** Makes a fault. */
export const Err = results.Err;
