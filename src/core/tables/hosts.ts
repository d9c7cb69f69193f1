/** Entry hosts, as the platform's list and the heartbeats show them. */
import type { HallId, HostId, RegionId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/** One entry host of the fleet. */
export type Host = {
  readonly id: HostId;
  readonly hall: HallId;
  readonly region: RegionId;
  readonly address: string;
  /** 0 until its first heartbeat is seen. */
  incarnation: number;
  counter: number;
  /** When the counter last rose, by this host's clock. */
  heardAt: Milliseconds;
  /** It did not answer directly; passed over until then. */
  suspectUntil: Milliseconds;
  leaving: boolean;
};
