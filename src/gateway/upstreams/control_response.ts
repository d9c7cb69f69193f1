/**
 * Reads the responses to control calls. They name no call, so a surplus response
 * to an earlier call is recognized in other ways.
 */
import type { Answer } from "./call.ts";
import { noteResponseId } from "./carried_calls.ts";
import type { JsonAnswer } from "./json_client.ts";
import { isOwnResponse } from "./own_response.ts";
import { readBody } from "./read_body.ts";

const MAX_BODY_BYTES = 1 << 20;

/** How the response to a control call is distinguished from an earlier one. */
export type ResponseCheck =
  /** The call has a connection of its own. */
  | { readonly type: "ownConnection" }
  /**
   * A success contains an id that no other response of the replica contains.
   * After any other response the connection is closed, so that all earlier ids of
   * a connection are known.
   */
  | { readonly type: "newId"; readonly idOf: ResponseId }
  /** Nothing depends on the response. */
  | { readonly type: "none" };

/** Reads the id that a response contains; undefined: none. */
export type ResponseId = (answer: JsonAnswer) => string | undefined;

/** The outcome of a control call. */
export type ControlOutcome =
  | { readonly type: "answer"; readonly answer: JsonAnswer }
  /** The response belongs to an earlier call. */
  | { readonly type: "surplus" }
  /** No complete response was received. */
  | { readonly type: "noAnswer" };

/** Reads the response to a control call. */
export async function readControlResponse(
  answer: Answer,
  check: ResponseCheck,
): Promise<ControlOutcome> {
  const { message, carried } = answer;
  const { statusCode: status = 0, headers, socket } = message;
  let isOwn = check.type !== "ownConnection" ||
    isOwnResponse(undefined, { status, carried });
  const mayReuse = (text: string) => {
    if (check.type !== "newId") return true;
    const id = check.idOf({ status, body: text, headers });
    if (id === undefined) return false;
    isOwn = noteResponseId(socket, id);
    return isOwn;
  };
  const body = await readBody(answer, MAX_BODY_BYTES, { mayReuse });
  if (body === undefined) return { type: "noAnswer" };
  if (!isOwn) return { type: "surplus" };
  return { type: "answer", answer: { status, body, headers } };
}
