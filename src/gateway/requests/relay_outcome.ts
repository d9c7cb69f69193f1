/** Decides how a response ended, by its framing and its events. */
import type { Answer } from "../upstreams/call.ts";
import { BodyEnding } from "../upstreams/framing.ts";
import type { EventScanner } from "./event_scanner.ts";
import { EventStream } from "./event_stream.ts";
import type { HeldEvents } from "./held_events.ts";

/** How the forwarding of a response ended. */
export type RelayOutcome =
  | "complete"
  /** Forwarded up to its end, which its framing does not confirm. */
  | "unconfirmed"
  | "interrupted"
  /** Nothing was forwarded, since the caller must not receive it. */
  | "withheld"
  /** The caller did not read the response. */
  | "unread";

/** The outcome of a response, whether or not its caller may receive it. */
export type ReceivedOutcome = Exclude<RelayOutcome, "unread" | "withheld">;

/** The outcome of a response for a caller who reads. */
export type OutcomeForCaller = Exclude<RelayOutcome, "unread">;

/** A stream that has ended. */
export type EndedStream = {
  readonly events: EventStream;
  readonly scanner: EventScanner;
  /** Whether events of it have been received, perhaps in earlier responses. */
  readonly hasEvents: boolean;
  /** As in {@link AnswerRelayOptions}. */
  readonly confirmEnd: () => Promise<boolean>;
};

/** The outcome of a response on a route that is not streaming. */
export function plainOutcome(
  answer: Pick<Answer, "ending">,
): ReceivedOutcome {
  const ending = answer.ending();
  return ending === BodyEnding.truncated ? "interrupted" : ending;
}

/** The outcome of a response on a streaming route. */
export async function streamOutcome(
  answer: Pick<Answer, "ending">,
  { events, scanner, hasEvents, confirmEnd }: EndedStream,
): Promise<ReceivedOutcome> {
  const outcome = plainOutcome(answer);
  if (outcome === "interrupted" || events === EventStream.no) return outcome;
  if (outcome === "complete") {
    // An intermediary may have framed a stream that was cut off.
    const isCut = events === EventStream.declared && scanner.isInsideEvent;
    return isCut ? "interrupted" : "complete";
  }
  if (scanner.isInsideEvent || !hasEvents) return "interrupted";
  return await confirmEnd() ? "unconfirmed" : "interrupted";
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
