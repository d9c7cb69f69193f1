/** Reads whole bodies of responses, up to a size. */
import { ByteCollector } from "../memory/byte_collector.ts";
import type { Answer } from "./call.ts";
import { BodyEnding } from "./framing.ts";

/** Options of {@link readBody}. */
export type ReadBodyOptions = {
  /**
   * Gets the body before its connection carries another call; if it returns
   * false, the connection is closed.
   */
  readonly mayReuse?: (body: string) => boolean;
  /** Whether there is room for a body of this length, as far as it is read. */
  readonly mayHold?: (bytes: number) => boolean;
};

/**
 * Reads the body of a response; undefined if it was cut off, is longer than
 * `maxBytes` or finds no room. Its reader has to parse it as a JSON object, which
 * a truncated body without framing is not.
 */
export function readBody(
  answer: Answer,
  maxBytes: number,
  { mayReuse, mayHold = () => true }: ReadBodyOptions = {},
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const received = new ByteCollector();
    let isTooLong = false;
    const { message } = answer;
    const { socket } = message;
    const text = () => received.bytes().toString("utf8");
    message.on("data", (chunk: Buffer) => {
      const bytes = received.length + chunk.length;
      isTooLong ||= bytes > maxBytes || !mayHold(bytes);
      if (isTooLong) message.destroy();
      else received.push(chunk);
    });
    message.on("end", () => {
      if (mayReuse?.(text()) === false) socket.destroy();
    });
    message.on("close", () => {
      const isCutOff = answer.ending() === BodyEnding.truncated;
      const isRead = !isCutOff && !isTooLong;
      resolve(isRead ? text() : undefined);
    });
  });
}
