/** The schema of a host's entry where hosts tell each other of it. */
import * as z from "zod";

/** Reads a `HostEntry`. */
export const HostEntrySchema = z.object({
  id: z.string(),
  address: z.string(),
  hall: z.string(),
});
