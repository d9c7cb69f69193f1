/** How a request's id names its owner. */
import type { HostId } from "../util/ids.ts";

/** `host/incarnation/number`. */
export type RequestId = string;
/** `host/incarnation/number/try`. */
export type AttemptId = string;

/** The entry host, and the run of it, that owns a request or an attempt. */
export type Owner = { readonly host: HostId; readonly incarnation: number };

/** Makes the id of a host's nth request. */
export function requestId(owner: Owner, number: number): RequestId {
  return `${owner.host}/${owner.incarnation}/${number}`;
}

/** Makes the id of a request's nth attempt. */
export function attemptId(request: RequestId, attempt: number): AttemptId {
  return `${request}/${attempt}`;
}

/** `host/incarnation/number`, and a try for attempts. */
const OWN_ID = /^([^/]+)\/(\d+)\/\d+(?:\/\d+)?$/;

/** The owner of a request or an attempt; undefined when the id isn't ours. */
export function ownerOf(id: RequestId | AttemptId): Owner | undefined {
  const [, host, incarnation] = OWN_ID.exec(id) ?? [];
  if (host === undefined || incarnation === undefined) return undefined;
  return { host, incarnation: Number(incarnation) };
}
