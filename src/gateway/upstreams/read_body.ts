/** Reads whole bodies of responses, up to a size. */
import { ByteCollector } from "../memory/byte_collector.ts";
import type { Answer } from "./call.ts";
import { BodyEnding } from "./framing.ts";

/**
 * Reads the body of a response; undefined if it was cut off or is longer than
 * `maxBytes`. Its reader has to parse it as a JSON object, which a truncated
 * body without framing is not. `mayReuse` gets the body before its connection
 * carries another call; if it returns false, the connection is closed.
 */
export function readBody(
  answer: Answer,
  maxBytes: number,
  mayReuse?: (body: string) => boolean,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const received = new ByteCollector();
    let isTooLong = false;
    const { message } = answer;
    const { socket } = message;
    const text = () => received.bytes().toString("utf8");
    message.on("data", (chunk: Buffer) => {
      isTooLong ||= received.length + chunk.length > maxBytes;
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
