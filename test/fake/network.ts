/** A fake network of halls with partitions and delays. */

/** The platform's location in the network. */
export const PLATFORM = "platform";

/** One-way delays. */
const SAME_HALL_MS = 0.3;
const OTHER_HALL_MS = 1;

/** The links between halls, and between halls and the platform. */
export class Network {
  readonly #cuts = new Set<string>();

  /** Cuts the link between two locations. */
  cut(a: string, b: string): void {
    this.#cuts.add(linkKey(a, b));
  }

  /** Restores the link between two locations. */
  restore(a: string, b: string): void {
    this.#cuts.delete(linkKey(a, b));
  }

  /** Restores all links. */
  restoreAll(): void {
    this.#cuts.clear();
  }

  /** Whether messages between two locations are delivered. */
  reaches(a: string, b: string): boolean {
    return !this.#cuts.has(linkKey(a, b));
  }

  /** Returns the one-way delay in milliseconds. */
  delay(a: string, b: string): number {
    return a === b ? SAME_HALL_MS : OTHER_HALL_MS;
  }
}

function linkKey(a: string, b: string): string {
  return [a, b].sort().join("|");
}
