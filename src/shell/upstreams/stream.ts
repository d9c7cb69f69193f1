/** Reads an engine's stream of tokens as chunks. */
import type { IncomingMessage } from "node:http";
import { createParser } from "eventsource-parser";
import { StreamPiece } from "./bodies.ts";

/** A piece of an engine's answer. */
export type StreamChunk = {
  readonly index: number;
  readonly tokens: number;
  readonly text: string;
  readonly last: boolean;
  readonly finish?: string;
};

/** The stream's closing mark. */
const DONE = "[DONE]";

/**
 * Reads a stream to its end. Each event's id is the number of tokens sent up
 * to its end, so that a resumed stream says where it goes on. Rejects when
 * the stream ends without its closing mark.
 */
export async function readStream(
  answer: IncomingMessage,
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
      const choice = StreamPiece.parse(JSON.parse(event.data)).choices[0];
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
  answer.setEncoding("utf8");
  for await (const part of answer) parser.feed(String(part));
  if (!ended) throw new Error("The stream ended too early");
}
