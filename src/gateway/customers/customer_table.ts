/** Looks up customers by their keys. */
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
   * The customer whose key has this SHA-256 digest. The comparison uses digests
   * so that the time of a lookup reveals nothing about a key.
   */
  customerOf(digest: string): Customer | undefined {
    return this.#byDigest.get(digest);
  }
}
