/** The schema of a replica's entry where hosts tell each other of it. */
import * as z from "zod";
import { ReplicaStage } from "./model.ts";

/** Reads a {@link ReplicaEntry}. */
export const ReplicaEntrySchema = z.object({
  incarnation: z.string(),
  service: z.string(),
  address: z.string(),
  hall: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  stage: z.enum(ReplicaStage).exactOptional(),
  coldMs: z.number(),
});
