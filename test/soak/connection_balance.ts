/** To which host callers open new connections. */

/** Spreads new connections evenly, or sends most of them to one host. */
export class ConnectionBalance {
  #hotHost: string | undefined;

  /** The host that most new connections go to, if there is one. */
  get hotHost(): string | undefined {
    return this.#hotHost;
  }

  /** Sends most new connections to one host until the result is called. */
  concentrate(host: string): () => void {
    this.#hotHost = host;
    return () => {
      this.#hotHost = undefined;
    };
  }
}
