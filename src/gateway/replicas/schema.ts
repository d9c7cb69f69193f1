/** Encoding of replica entries in messages between hosts. */
import * as z from "zod";
import { incarnationOf, type ReplicaEntry, ReplicaStage } from "./model.ts";

const EntryMessage = z.object({
  /** The id: hosts without support for restarts expect it under this key. */
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
/** A replica's entry on the wire. */
export type EntryMessage = z.output<typeof EntryMessage>;

/** Decodes a {@link ReplicaEntry}. */
export const ReplicaEntrySchema = EntryMessage.transform(decodeEntry);

function decodeEntry(
  { incarnation: id, ...entry }: EntryMessage,
): ReplicaEntry {
  return { ...entry, id, incarnation: incarnationOf(id, entry.born) };
}

/** Encodes an entry for other hosts. */
export function encodeEntry({ id, ...entry }: ReplicaEntry): EntryMessage {
  return { ...entry, incarnation: id };
}
