/** Builds the messages that a host sends to the one it follows. */
import type * as z from "zod";
import type { GatewayContext } from "../context.ts";
import type { HostEntry } from "../port.ts";
import type { Position } from "../position.ts";
import type { FollowerMessageSchema, StateMessage } from "./state_messages.ts";

type FollowerMessage = z.input<typeof FollowerMessageSchema>;
type MessageOf<Type extends FollowerMessage["type"]> = Extract<
  FollowerMessage,
  { type: Type }
>;

/**
 * Requests the state after a position; -1: all of the listing, or with
 * `isCompared` what differs from this host's.
 */
export function followRequest(
  { clock, routes, replicas }: Pick<
    GatewayContext,
    "clock" | "routes" | "replicas"
  >,
  { host, revision, isCompared }: {
    /** This host. */
    readonly host: HostEntry;
    readonly revision: Position;
    readonly isCompared: boolean;
  },
): MessageOf<"follow"> {
  const hasComparison = isCompared && replicas.size > 0;
  return {
    type: "follow",
    revision,
    ...(hasComparison ? { comparison: replicas.compare() } : {}),
    version: routes.version,
    sentAt: clock.now(),
    host,
  };
}

/**
 * Tells the sender of a message this host's version; undefined if it has heard
 * of it.
 */
export function versionAnnouncement(
  { clock, routes }: Pick<GatewayContext, "clock" | "routes">,
  { version, newest }: StateMessage,
): MessageOf<"sync"> | undefined {
  if (routes.version <= Math.max(version, newest ?? 0)) return undefined;
  return { type: "sync", sentAt: clock.now(), version: routes.version };
}
