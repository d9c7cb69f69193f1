/** Reads the bodies of JSON responses within bounds of memory. */
import { ResponseBudget } from "../memory/response_budget.ts";
import type { Answer } from "./call.ts";
import { countDelimiters } from "./json_values.ts";
import { readBody } from "./read_body.ts";

/** Why a response was not read to its end. */
export const ResponseFault = {
  /** The connection ended first. */
  cutOff: "cutOff",
  /** No message is as long, or has as many values. */
  tooLong: "tooLong",
  /** The responses that are being read take too much memory together. */
  noRoom: "noRoom",
} as const;
/** One of the values of {@link ResponseFault}. */
export type ResponseFault = typeof ResponseFault[keyof typeof ResponseFault];

const MESSAGES: Readonly<Record<ResponseFault, string>> = {
  cutOff: "Response body cut off",
  tooLong: "Response body is too long",
  noRoom: "Response broken off for lack of memory",
};

/**
 * A response that was not read to its end. Unless it was cut off, its sender
 * runs: this host has ended the reading.
 */
export class ResponseError extends Error {
  readonly fault: ResponseFault;

  constructor(fault: ResponseFault) {
    super(MESSAGES[fault]);
    this.fault = fault;
  }
}

/** Room for a page of the store with long rows of other writers, in base64. */
const MAX_BODY_BYTES = 20 << 20;
/**
 * Bounds what is parsed: small values take many times their text. The listing of
 * a thousand replicas, with a hundred fields each, has fewer.
 */
const MAX_DELIMITERS = 128 << 10;
/** A longest body fits beside others of usual length. */
const MAX_HELD_BYTES = MAX_BODY_BYTES + (8 << 20);
/** Shared by all clients, since they share the memory of the process. */
const RESPONSES = new ResponseBudget(MAX_HELD_BYTES);

/** Reads a body; rejects with a {@link ResponseError} if it isn't complete. */
export async function readJsonBody(answer: Answer): Promise<string> {
  const { message, address } = answer;
  let fault: ResponseFault = ResponseFault.cutOff;
  const breakOff = (reason: ResponseFault) => {
    fault = reason;
    message.destroy();
  };
  if (Number(message.headers["content-length"] ?? 0) > MAX_BODY_BYTES) {
    breakOff(ResponseFault.tooLong);
    throw new ResponseError(fault);
  }
  const held = RESPONSES.begin(address, () => breakOff(ResponseFault.noRoom));
  let bytes = 0;
  let delimiters = 0;
  const mayRead = (part: Buffer) => {
    bytes += part.length;
    delimiters += countDelimiters(part);
    const isTooLong = bytes > MAX_BODY_BYTES || delimiters > MAX_DELIMITERS;
    if (isTooLong) fault = ResponseFault.tooLong;
    else held.hold(bytes);
    return !isTooLong && !message.destroyed;
  };
  try {
    const body = await readBody(answer, Infinity, { mayRead });
    if (body === undefined) throw new ResponseError(fault);
    return body;
  } finally {
    held.release();
  }
}
