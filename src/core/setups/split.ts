/** A service's split between prefill and decode, as operators set it. */
import * as z from "zod";

/** Without a number the split follows the load. */
export const SplitSchema = z.strictObject({
  prefill: z.int().min(1).optional(),
});
/** A service's split between prefill and decode. */
export type Split = z.infer<typeof SplitSchema>;
