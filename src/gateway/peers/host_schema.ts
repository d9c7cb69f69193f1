/** The schema of host entries in messages between hosts. */
import * as z from "zod";

/** Parses a `HostEntry`. */
export const HostEntrySchema = z.object({
  id: z.string(),
  address: z.string(),
  hall: z.string(),
  capacity: z.number().positive().exactOptional(),
});
