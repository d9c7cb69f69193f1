/** The event streams that stand-ins of replicas write. */

/** An event of a stream. */
export type StreamEvent = {
  /** Its id: the position in the stream, from 0. */
  readonly index: number;
  /** The attempt for which the replica wrote it. */
  readonly request: string;
  /** The software version of the replica that wrote it. */
  readonly softwareVersion: string;
};

/** Number of events of a complete stream. */
export const STREAM_EVENTS = 20;
const EVENT_PATTERN = /^id: (\d+)\ndata: (\S+) (\S+?)( last)?$/;
/** Ends an event. */
export const EVENT_END = "\n\n";

/** The bytes of an event. */
export function eventText(
  { index, request, softwareVersion }: StreamEvent,
): string {
  const last = index === STREAM_EVENTS - 1 ? " last" : "";
  return `id: ${index}\ndata: ${request} ${softwareVersion}${last}${EVENT_END}`;
}

/**
 * The complete events of a body, up to the first one that no stand-in writes.
 */
export function parseEvents(body: string): StreamEvent[] {
  const events: StreamEvent[] = [];
  for (const text of body.split(EVENT_END).slice(0, -1)) {
    const [, index, request, softwareVersion] = EVENT_PATTERN.exec(text) ?? [];
    if (index === undefined || !request || !softwareVersion) break;
    events.push({ index: Number(index), request, softwareVersion });
  }
  return events;
}

/** The events of a whole stream from one of them on, as texts. */
export function streamTexts(
  { index: fromEvent, ...event }: StreamEvent,
): string[] {
  return Array.from(
    { length: Math.max(0, STREAM_EVENTS - fromEvent) },
    (_, at) => eventText({ ...event, index: fromEvent + at }),
  );
}

/** Whether a stream may have ended here: no event is incomplete. */
export function isAtEventEnd(body: string): boolean {
  return body === "" || body.endsWith(EVENT_END);
}
