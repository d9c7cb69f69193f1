/** Finds the customer who holds a key. */
import type { Customer } from "./model.ts";

/** The customers of one configuration, by the digests of their keys. */
export class CustomerTable {
  readonly #byDigest = new Map<string, Customer>();

  constructor(customers: readonly Customer[]) {
    for (const customer of customers) {
      for (const digest of customer.keyDigests) {
        this.#byDigest.set(digest, customer);
      }
    }
  }

  /**
   * The customer who holds the key with this SHA-256. Keys are compared by
   * digest: how long the look-up takes tells nothing of a key.
   */
  holderOf(digest: string): Customer | undefined {
    return this.#byDigest.get(digest);
  }
}
