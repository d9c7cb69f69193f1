/** Messages of a host to those whose tunnels it carries, as lines of JSON. */
import * as z from "zod";

/** The schema of a message. */
export const CarrierMessageSchema = z.discriminatedUnion("type", [
  /** The first message of a host that is not stopping. */
  z.object({ type: z.literal("serving") }),
  /** The host stops, and closes its tunnels when its grace period ends. */
  z.object({ type: z.literal("stopping") }),
]);
/** A message of a host that carries tunnels. */
export type CarrierMessage = z.output<typeof CarrierMessageSchema>;
