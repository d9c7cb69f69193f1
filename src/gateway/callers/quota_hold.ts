/** Takes what a request costs of its customer's quota. */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import { type Clock, sleep } from "../clock.ts";
import { quotaUnits } from "../customers/model.ts";
import type { QuotaMember } from "../quota/member.ts";
import type { GatewayRequest } from "../requests/request.ts";

/**
 * A request that could be on time waits for its units up to this part of its
 * objective; a longer wait would leave too little for the answer.
 */
const WAIT_SHARE = 1 / 4;

/** What a hold is taken from. */
export type QuotaHoldSource = {
  readonly clock: Clock;
  readonly quotas: Pick<QuotaMember, "take">;
  /** Version of the configuration that has the quota. */
  readonly version: number;
};

/** The units are held, or why they are not. */
export type QuotaHold =
  | {
    readonly type: "held";
    /** The request did not run. */
    giveBack(): void;
  }
  | {
    readonly type: "refused";
    readonly error: GatewayError;
    readonly retryAfterMs?: Milliseconds;
  };

const FREE: QuotaHold = { type: "held", giveBack: () => undefined };

/** Takes a request's units, after a wait where one is needed. */
export async function takeQuotaHold(
  { clock, quotas, version }: QuotaHoldSource,
  { customer, facts, route }: GatewayRequest,
): Promise<QuotaHold> {
  if (!customer?.quota) return FREE;
  const { name, quota } = customer;
  const { perSecond, burst } = quota;
  const units = quotaUnits(quota, facts);
  const outcome = await quotas.take({
    customer: name,
    units,
    rate: { perSecond, burst },
    version,
    mostWaitMs: route.objectiveMs * WAIT_SHARE,
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
      return { type: "held", giveBack: () => outcome.giveBack() };
  }
}
