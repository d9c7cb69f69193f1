/** Whether the customer behind a request may send it. */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { Route } from "../routing/model.ts";
import type { RouteTable } from "../routing/route_table.ts";
import type { Customer } from "./model.ts";

/** What admission goes by. */
export type AdmissionSource = {
  readonly routes: Pick<RouteTable, "customers" | "isBehind">;
  /**
   * Age of what this host knows of the store on the configuration: the one in
   * force here was the newest so long ago. Infinity before the first.
   */
  configAgeMs(now: Milliseconds): Milliseconds;
  /**
   * Keys are not trusted on an older word than this, so that a key that was
   * taken away is refused everywhere within that time; Infinity: any word will
   * do. A setting: the deployment's bound on taking keys away.
   */
  maxConfigAgeMs(): Milliseconds;
};

/** The customer of a request that may go on, or why it may not. */
export type Admission =
  | {
    readonly type: "admitted";
    /** Absent where no key is asked for. */
    readonly customer?: Customer;
  }
  | { readonly type: "refused"; readonly error: GatewayError };

const OPEN: Admission = { type: "admitted" };

/** Admits a request by its key's digest. */
export function admit(
  source: AdmissionSource,
  request: { readonly route: Route; readonly keyDigest: string | undefined },
  now: Milliseconds,
): Admission {
  const { customers } = source.routes;
  if (!customers || request.route.anonymous) return OPEN;
  // A stale word says neither that a key is good nor that it is not.
  if (source.configAgeMs(now) > source.maxConfigAgeMs()) {
    return refused(GatewayError.staleKeys);
  }
  const { keyDigest } = request;
  const customer = keyDigest === undefined
    ? undefined
    : customers.holderOf(keyDigest);
  if (customer) return { type: "admitted", customer };
  // The newer configuration that this host waits for may have the key.
  const mayBeNew = keyDigest !== undefined && source.routes.isBehind;
  return refused(mayBeNew ? GatewayError.staleKeys : GatewayError.unknownKey);
}

/**
 * Whether the key of an admitted request is still its customer's: it may be
 * taken away while the request waits. True where no key was asked for.
 */
export function isStillHeld(
  routes: Pick<RouteTable, "customers">,
  { customer, facts: { keyDigest } }: {
    readonly customer?: Customer;
    readonly facts: { readonly keyDigest?: string };
  },
): boolean {
  if (customer === undefined || keyDigest === undefined) return true;
  return routes.customers?.holderOf(keyDigest)?.name === customer.name;
}

function refused(error: GatewayError): Admission {
  return { type: "refused", error };
}
