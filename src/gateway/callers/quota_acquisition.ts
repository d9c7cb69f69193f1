/** Acquires the quota units that a request costs its customer. */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import { type Clock, sleep } from "../clock.ts";
import type { Scheduling } from "../context.ts";
import { quotaUnits } from "../customers/model.ts";
import type { QuotaMember } from "../quota/member.ts";
import type { GatewayRequest } from "../requests/request.ts";

/**
 * Longest wait for units, as a share of the route's objective. A longer wait
 * would leave too little time for the response.
 */
const MAX_WAIT_SHARE = 1 / 4;
/** Longest retry delay for callers that do not state one. */
const DEFAULT_MAX_RETRY_MS = 4000;

/** Options of {@link acquireQuota}. */
export type QuotaAcquisitionOptions = {
  readonly clock: Clock;
  readonly quotas: Pick<QuotaMember, "acquire">;
  /** Version of the configuration that defines the quota. */
  readonly version: number;
  /**
   * Whether refused requests get places to retry at, and urgent requests go
   * first within a quota.
   */
  readonly scheduling: Pick<Scheduling, "customerShares" | "quotaPriorities">;
  /**
   * Registers a function that refuses the request while it waits, because this
   * host stops; returns one that removes it.
   */
  readonly onStop: (refuse: () => void) => () => void;
};

/** Outcome of acquiring units. */
export type QuotaAcquisition =
  | {
    readonly type: "held";
    /** Returns the units of a request that did not run. */
    release(): void;
  }
  | {
    readonly type: "refused";
    readonly error: GatewayError;
    readonly retryAfterMs?: Milliseconds;
  };

const NO_QUOTA: QuotaAcquisition = { type: "held", release: () => undefined };

/**
 * Acquires the units of a request and waits until they are available, unless
 * this host stops before that.
 */
export async function acquireQuota(
  options: QuotaAcquisitionOptions,
  request: GatewayRequest,
): Promise<QuotaAcquisition> {
  if (!request.customer?.quota) return NO_QUOTA;
  let remove: () => void = () => undefined;
  const stopped = new Promise<"stopped">((resolve) => {
    remove = options.onStop(() => resolve("stopped"));
  });
  const acquired = acquireUnits(options, request);
  const outcome = await Promise.race([acquired, stopped]);
  remove();
  if (outcome !== "stopped") return outcome;
  void acquired.then((late) => {
    if (late.type === "held") late.release();
  });
  return { type: "refused", error: GatewayError.stopping };
}

async function acquireUnits(
  { clock, quotas, version, scheduling }: QuotaAcquisitionOptions,
  { customer, facts, route, fingerprints }: GatewayRequest,
): Promise<QuotaAcquisition> {
  if (!customer?.quota) return NO_QUOTA;
  const { name, quota } = customer;
  const { perSecond, burst } = quota;
  const units = quotaUnits(quota, facts);
  const longestMs = facts.maxRetryAfterMs ?? DEFAULT_MAX_RETRY_MS;
  const retry = scheduling.customerShares
    ? { retry: { key: fingerprints.request(), longestMs } }
    : {};
  const outcome = await quotas.acquire({
    customer: name,
    units,
    rate: { perSecond, burst },
    version,
    mostWaitMs: route.objectiveMs * MAX_WAIT_SHARE,
    // The customer's own priority is the same for all its requests.
    ...(scheduling.quotaPriorities ? { priority: route.priority } : {}),
    ...retry,
  });
  switch (outcome.type) {
    case "unknown":
      return { type: "refused", error: GatewayError.quotaUnknown };
    case "refused": {
      const { retryAfterMs } = outcome;
      return { type: "refused", error: GatewayError.overQuota, retryAfterMs };
    }
    case "granted":
      if (outcome.afterMs > 0) await sleep(clock, outcome.afterMs);
      return { type: "held", release: () => outcome.release() };
  }
}
