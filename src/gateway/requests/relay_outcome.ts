/** Decides how a response ended, by its framing and its events. */
import type { Answer } from "../upstreams/call.ts";
import { BodyEnding } from "../upstreams/framing.ts";
import type { EventScanner } from "./event_scanner.ts";
import { EventStream } from "./event_stream.ts";
import type { HeldEvents } from "./held_events.ts";

/** How the forwarding of a response ended. */
export type RelayOutcome =
  | "complete"
  /**
   * Forwarded up to its end. Its framing does not confirm that end, but the
   * replica, and the peer on the way if there is one, ran on behind it.
   */
  | "unconfirmed"
  | "interrupted"
  /** Nothing was forwarded, since the caller must not receive it. */
  | "withheld"
  /** The caller did not read the response. */
  | "unread";

/** Why a response was not forwarded. */
export const UNFORWARDED_REASONS = {
  unread: "The caller did not read the answer",
  withheld: "Other hosts have a record of another version",
} as const;

/** The outcome of a response, whether or not its caller may receive it. */
export type ReceivedOutcome = Exclude<RelayOutcome, "unread" | "withheld">;

/** The outcome of a response for a caller who reads. */
export type OutcomeForCaller = Exclude<RelayOutcome, "unread">;

/** The events of a stream that has ended. */
export type EndedStream = {
  readonly events: EventStream;
  readonly scanner: EventScanner;
  /** Whether events of it have been received, perhaps in earlier responses. */
  readonly hasEvents: boolean;
};

/** Options of {@link receivedOutcome}. */
export type ReceivedOutcomeOptions = {
  /** Undefined: the route is not streaming. */
  readonly stream?: EndedStream;
  /** As in {@link AnswerRelayOptions}. */
  readonly confirmEnd: () => Promise<boolean>;
};

/**
 * The outcome of a response. It is complete if its framing says so, or if all
 * processes that it came through run on after its orderly end: the operating
 * system ends the connections of a process that was killed in order, too.
 */
export async function receivedOutcome(
  answer: Pick<Answer, "ending">,
  { stream, confirmEnd }: ReceivedOutcomeOptions,
): Promise<ReceivedOutcome> {
  const ending = answer.ending();
  if (ending === BodyEnding.truncated) return "interrupted";
  if (stream && isCutStream(stream, ending)) return "interrupted";
  if (ending === BodyEnding.complete) return "complete";
  return await confirmEnd() ? "unconfirmed" : "interrupted";
}

/** Whether the events of a stream tell that it was cut off. */
function isCutStream(
  { events, scanner, hasEvents }: EndedStream,
  ending: BodyEnding,
): boolean {
  if (events === EventStream.no) return false;
  if (ending === BodyEnding.unconfirmed) {
    return scanner.isInsideEvent || !hasEvents;
  }
  // An intermediary may have framed a stream that was cut off.
  return events === EventStream.declared && scanner.isInsideEvent;
}

/** The outcome of a stream whose events are held back. */
export async function outcomeForCaller(
  received: ReceivedOutcome,
  held: HeldEvents,
): Promise<OutcomeForCaller> {
  if (received !== "interrupted" || held.isWithheld) {
    return await held.opened ? received : "withheld";
  }
  held.drop();
  return received;
}
