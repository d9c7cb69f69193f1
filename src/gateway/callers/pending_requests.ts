/** Requests that are being read or wait for quota units while a host stops. */

/** A request that can be refused although something else is awaited. */
export type PendingRequest = {
  /** Whether it can't be finished before this host exits. */
  isTooLate(): boolean;
  refuse(): void;
};

/** The requests that have not been passed to an exchange yet. */
export class PendingRequests {
  readonly #pending = new Set<PendingRequest>();

  /** Adds a request; the returned function removes it. */
  add(request: PendingRequest): () => void {
    this.#pending.add(request);
    return () => void this.#pending.delete(request);
  }

  /** Refuses the requests that can't be finished. */
  refuseLate(): void {
    for (const request of this.#pending) {
      if (request.isTooLate()) this.#refuse(request);
    }
  }

  /** Refuses all requests and returns their number. */
  refuseAll(): number {
    const count = this.#pending.size;
    for (const request of this.#pending) this.#refuse(request);
    return count;
  }

  #refuse(request: PendingRequest): void {
    this.#pending.delete(request);
    request.refuse();
  }
}
