/** A replica's entry where hosts tell each other of it. */
import * as z from "zod";
import { incarnationOf, type ReplicaEntry, ReplicaStage } from "./model.ts";

const EntryMessage = z.object({
  /** The replica's id: hosts that know of no restarts under it read it so. */
  incarnation: z.string(),
  born: z.number().exactOptional(),
  service: z.string(),
  address: z.string(),
  hall: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  stage: z.enum(ReplicaStage).exactOptional(),
  coldMs: z.number(),
});
/** A replica's entry as hosts tell it. */
export type EntryMessage = z.output<typeof EntryMessage>;

/** Reads a {@link ReplicaEntry}. */
export const ReplicaEntrySchema = EntryMessage.transform(decodeEntry);

function decodeEntry(
  { incarnation: id, ...entry }: EntryMessage,
): ReplicaEntry {
  return { ...entry, id, incarnation: incarnationOf(id, entry.born) };
}

/** An entry as other hosts read it. */
export function encodeEntry({ id, ...entry }: ReplicaEntry): EntryMessage {
  return { ...entry, incarnation: id };
}
