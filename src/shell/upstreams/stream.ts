/** Reads token streams of engines. */
import type { IncomingMessage } from "node:http";
import { createParser } from "eventsource-parser";
import { StreamEvent } from "./bodies.ts";

/** A chunk of a streamed response. */
export type StreamChunk = {
  readonly index: number;
  readonly tokens: number;
  readonly text: string;
  readonly last: boolean;
  readonly finish?: string;
};

/** Data of the stream's last event. */
const DONE = "[DONE]";

/**
 * Reads a stream to its end. The id of each event is the number of tokens
 * sent including that event, which gives a resumed stream's position. Rejects
 * when the stream ends without its last event.
 */
export async function readStream(
  response: IncomingMessage,
  after: number,
  onChunk: (chunk: StreamChunk) => void,
): Promise<void> {
  let sent = after;
  let ended = false;
  const parser = createParser({
    onEvent: (event) => {
      if (event.data === DONE) {
        ended = true;
        return;
      }
      const choice = StreamEvent.parse(JSON.parse(event.data)).choices[0];
      const upTo = event.id === undefined ? sent + 1 : Number(event.id);
      const finish = choice?.finish_reason ?? undefined;
      onChunk({
        index: sent,
        tokens: upTo - sent,
        text: choice?.text ?? choice?.delta?.content ?? "",
        last: finish !== undefined,
        ...(finish === undefined ? {} : { finish }),
      });
      sent = upTo;
    },
  });
  response.setEncoding("utf8");
  for await (const part of response) parser.feed(String(part));
  if (!ended) throw new Error("stream ended before [DONE]");
}
