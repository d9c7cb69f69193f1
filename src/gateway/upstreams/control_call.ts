/** Calls that the gateway itself makes to replicas. */
import type { Milliseconds } from "../../util/units.ts";
import type { JsonCall } from "../port.ts";
import type { ResponseCheck } from "./control_response.ts";

/** Options of a control call. */
export type ControlCallOptions = {
  readonly call: JsonCall & { readonly headers?: readonly string[] };
  readonly timeoutMs: Milliseconds;
  /** The replica must see this host's own address. */
  readonly isDirectOnly?: boolean | undefined;
  /** By default, the call has a connection of its own. */
  readonly check?: ResponseCheck | undefined;
  /** Called for each response that belongs to an earlier call. */
  readonly onSurplus?: (() => void) | undefined;
};
