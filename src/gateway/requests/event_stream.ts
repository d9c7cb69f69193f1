/** Whether the body of a response is a stream of server-sent events. */
import type { Answer } from "../upstreams/call.ts";

/** What is known about the events of a response. */
export const EventStream = {
  /** Its headers say that it is one. */
  declared: "declared",
  /** On a streaming route, a response without a media type is one. */
  assumed: "assumed",
  /** It is none, or its events can't be told from its bytes. */
  no: "no",
} as const;
/** One of the values of {@link EventStream}. */
export type EventStream = typeof EventStream[keyof typeof EventStream];

const MEDIA_TYPE = "text/event-stream";
const FIRST_ERROR_STATUS = 300;

/** Classifies a response on a streaming route. */
export function eventStreamOf({ message }: Answer): EventStream {
  const { statusCode = 0, headers } = message;
  const coding = headers["content-encoding"]?.toLowerCase() ?? "identity";
  if (statusCode >= FIRST_ERROR_STATUS || coding !== "identity") {
    return EventStream.no;
  }
  const type = headers["content-type"];
  if (type === undefined) return EventStream.assumed;
  return type.toLowerCase().startsWith(MEDIA_TYPE)
    ? EventStream.declared
    : EventStream.no;
}
