/** Names of entities, and how a request's id names its owner. */

/** A span or a point of time in milliseconds. */
export type Milliseconds = number;
/** An entry host's name, unique in the fleet. */
export type HostId = string;
/** A data hall's name. */
export type HallId = string;
/** A region's name; halls of a region share pools. */
export type RegionId = string;
/** An upstream's name, unique in the fleet. */
export type UpstreamId = string;
/** A service's name: a model, or a plain service. */
export type ServiceId = string;
/** A pool's name: its service's, and a number when there are several. */
export type PoolId = string;
/** A customer's name. */
export type CustomerId = string;
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
