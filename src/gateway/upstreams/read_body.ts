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
  /** Gets each part of the body; if it returns false, the rest isn't read. */
  readonly mayRead?: (part: Buffer) => boolean;
};

/**
 * Reads the body of a response; undefined if it was cut off, is longer than
 * `maxBytes`, or `mayRead` has ended it. Its reader has to parse it as a JSON
 * object, which a truncated body without framing is not.
 */
export function readBody(
  answer: Answer,
  maxBytes: number,
  { mayReuse, mayRead = () => true }: ReadBodyOptions = {},
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const received = new ByteCollector();
    let isEnded = false;
    const { message } = answer;
    const { socket } = message;
    const text = () => received.bytes().toString("utf8");
    message.on("data", (chunk: Buffer) => {
      isEnded ||= received.length + chunk.length > maxBytes || !mayRead(chunk);
      if (isEnded) message.destroy();
      else received.push(chunk);
    });
    message.on("end", () => {
      if (mayReuse?.(text()) === false) socket.destroy();
    });
    message.on("close", () => {
      const isCutOff = answer.ending() === BodyEnding.truncated;
      const isRead = !isCutOff && !isEnded;
      resolve(isRead ? text() : undefined);
    });
  });
}
