/** The schema of host entries in rows and in messages between hosts. */
import * as z from "zod";
import { parseAddress } from "../../util/address.ts";
import { validItems } from "../../util/valid_items.ts";
import { Name } from "../name_schema.ts";

/** Hosts are weighed by the square of their capacity. */
const MAX_CAPACITY = 1e6;

/** Parses a `HostEntry`. */
export const HostEntrySchema = z.object({
  /** Visible ASCII characters. */
  id: Name.regex(/^[!-~]+$/),
  address: z.string().refine((text) => parseAddress(text) !== undefined),
  hall: Name,
  capacity: z.number().positive().max(MAX_CAPACITY).exactOptional(),
});

/** Parses a list of hosts, without invalid entries. */
export const HostEntriesSchema = validItems(HostEntrySchema);
