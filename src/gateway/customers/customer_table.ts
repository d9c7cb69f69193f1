/** Looks up customers by their keys. */
import { type Customer, QuotaUnit } from "./model.ts";

/** The customers of one configuration, by the digests of their keys. */
export class CustomerTable {
  readonly #byDigest = new Map<string, Customer>();
  readonly #weights: ReadonlyMap<string, number>;

  constructor(customers: readonly Customer[]) {
    this.#weights = customerWeights(customers);
    for (const customer of customers) {
      for (const digest of customer.keyDigests) {
        this.#byDigest.set(digest, customer);
      }
    }
  }

  /**
   * The customer whose key has this SHA-256 digest. The comparison uses digests
   * so that the time of a lookup reveals nothing about a key.
   */
  customerOf(digest: string): Customer | undefined {
    return this.#byDigest.get(digest);
  }

  /**
   * A customer's weight in the shares of an overloaded service: its quota's
   * rate relative to the mean rate; 1 without a quota.
   */
  weightOf(name: string): number {
    return this.#weights.get(name) ?? 1;
  }
}

/** Weights of the customers with quotas; quotas in other units don't compare. */
function customerWeights(customers: readonly Customer[]): Map<string, number> {
  const weights = new Map<string, number>();
  for (const unit of Object.values(QuotaUnit)) {
    const rates = customers.flatMap(({ name, quota }) =>
      quota?.unit === unit && quota.perSecond > 0
        ? [{ name, perSecond: quota.perSecond }]
        : []
    );
    const total = rates.reduce((sum, { perSecond }) => sum + perSecond, 0);
    for (const { name, perSecond } of rates) {
      weights.set(name, perSecond * rates.length / total);
    }
  }
  return weights;
}
