/** Sums what the assigned requests of each customer use of each service. */

type UsingRequest = {
  /** Absent when it is not known. */
  readonly service: string | undefined;
  readonly priority: number;
  readonly customer: string;
  readonly tokens: number;
};

const NO_USE: ReadonlyMap<string, number> = new Map();

/** Reserved tokens by service, priority and customer. */
export class CustomerUse {
  readonly #services = new Map<string, Map<number, Map<string, number>>>();

  /** Tokens by customer; customers without any are left out. */
  of(service: string, priority: number): ReadonlyMap<string, number> {
    return this.#services.get(service)?.get(priority) ?? NO_USE;
  }

  /** Tokens of all requests of the service that are more urgent. */
  moreUrgentThan(priority: number, service: string): number {
    let sum = 0;
    for (const [other, customers] of this.#services.get(service) ?? []) {
      if (other >= priority) continue;
      for (const tokens of customers.values()) sum += tokens;
    }
    return sum;
  }

  /** Whether customers other than this one have more urgent requests. */
  hasMoreUrgentOf(
    { service, priority, customer }: Omit<UsingRequest, "tokens">,
  ): boolean {
    for (const [other, customers] of this.#services.get(service ?? "") ?? []) {
      if (other >= priority) continue;
      if (customers.size > (customers.has(customer) ? 1 : 0)) return true;
    }
    return false;
  }

  add(request: UsingRequest): void {
    this.#change(request, request.tokens);
  }

  remove(request: UsingRequest): void {
    this.#change(request, -request.tokens);
  }

  #change(
    { service, priority, customer }: UsingRequest,
    delta: number,
  ): void {
    if (service === undefined) return;
    const priorities = getOrCreate(this.#services, service);
    const customers = getOrCreate(priorities, priority);
    const tokens = (customers.get(customer) ?? 0) + delta;
    if (tokens > 0) customers.set(customer, tokens);
    else customers.delete(customer);
  }
}

function getOrCreate<Key, InnerKey, Value>(
  outer: Map<Key, Map<InnerKey, Value>>,
  key: Key,
): Map<InnerKey, Value> {
  const known = outer.get(key);
  if (known) return known;
  const inner = new Map<InnerKey, Value>();
  outer.set(key, inner);
  return inner;
}
