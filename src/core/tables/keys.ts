/** Callers' request keys: this host's registrations and what it keeps. */
import type { RequestId } from "../request_ids.ts";
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/** A key kept for an owner; lost with this host. */
export type KeyRecord = {
  readonly key: string;
  request: RequestId;
  answered: boolean;
  renewedAt: Milliseconds;
};

/** One round of asking the keepers. */
export type Renewal = {
  readonly round: number;
  readonly askedAt: Milliseconds;
  /** Keepers that granted it. */
  readonly by: Set<HostId>;
};

/** A registration that this host makes for a request of its own. */
export type Registration = {
  readonly key: string;
  readonly request: RequestId;
  /** The answer is whole, or about to be. */
  answered: boolean;
  /** A majority of keepers knows that it is answered. */
  confirmed: boolean;
  /** The owner may deliver until then. */
  leasedUntil: Milliseconds;
  renewal: Renewal;
  nextPutAt: Milliseconds;
  /** The host list that the keepers were found by. */
  listRevision: number;
  /** Kept until then once answered. */
  until: Milliseconds;
};
