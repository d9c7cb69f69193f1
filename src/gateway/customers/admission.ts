/** Decides whether a request is admitted, by its API key. */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { Route } from "../routing/model.ts";
import type { RouteTable } from "../routing/route_table.ts";
import type { Customer } from "./model.ts";

/** Options of {@link admit}. */
export type AdmissionOptions = {
  readonly routes: Pick<RouteTable, "customers" | "isBehind">;
  /**
   * Time since the store is known to have had no newer configuration; Infinity
   * if this is not known.
   */
  configAgeMs(now: Milliseconds): Milliseconds;
  /**
   * Maximum `configAgeMs` at which keys are accepted, so that all hosts refuse
   * a revoked key within this time. A setting; Infinity if there is no limit.
   */
  maxConfigAgeMs(): Milliseconds;
};

/** The customer of an admitted request, or the error for a refused one. */
export type Admission =
  | {
    readonly type: "admitted";
    /** Absent if no key is required. */
    readonly customer?: Customer;
  }
  | { readonly type: "refused"; readonly error: GatewayError };

const ADMITTED_WITHOUT_KEY: Admission = { type: "admitted" };

/** Admits or refuses a request by the digest of its key. */
export function admit(
  options: AdmissionOptions,
  request: { readonly route: Route; readonly keyDigest: string | undefined },
  now: Milliseconds,
): Admission {
  const { customers } = options.routes;
  if (!customers || request.route.anonymous) return ADMITTED_WITHOUT_KEY;
  // A stale configuration shows neither that a key is valid nor that it is not.
  if (options.configAgeMs(now) > options.maxConfigAgeMs()) {
    return refused(GatewayError.staleKeys);
  }
  const { keyDigest } = request;
  const customer = keyDigest === undefined
    ? undefined
    : customers.customerOf(keyDigest);
  if (customer) return { type: "admitted", customer };
  // A newer configuration, which this host does not have yet, may have the key.
  const mayBeNew = keyDigest !== undefined && options.routes.isBehind;
  return refused(mayBeNew ? GatewayError.staleKeys : GatewayError.unknownKey);
}

/**
 * Whether the key of an admitted request still belongs to its customer; the key
 * may be revoked while the request waits. True if no key is required.
 */
export function isKeyStillValid(
  routes: Pick<RouteTable, "customers">,
  { customer, facts: { keyDigest } }: {
    readonly customer?: Customer;
    readonly facts: { readonly keyDigest?: string };
  },
): boolean {
  if (customer === undefined || keyDigest === undefined) return true;
  return routes.customers?.customerOf(keyDigest)?.name === customer.name;
}

function refused(error: GatewayError): Admission {
  return { type: "refused", error };
}
