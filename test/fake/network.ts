/** Which halls reach each other, and how long a message takes. */

/** The platform's place in the network. */
export const PLATFORM = "platform";

/** One-way time within a hall, and between halls, in milliseconds. */
const NEAR_MS = 0.3;
const FAR_MS = 1;

/** A network of halls. */
export class Network {
  readonly #cuts = new Set<string>();

  /** Cuts two places from each other. */
  cut(a: string, b: string): void {
    this.#cuts.add(pair(a, b));
  }

  /** Joins two places again. */
  heal(a: string, b: string): void {
    this.#cuts.delete(pair(a, b));
  }

  /** Joins everything again. */
  healAll(): void {
    this.#cuts.clear();
  }

  /** Whether messages get from one place to the other. */
  reaches(a: string, b: string): boolean {
    return !this.#cuts.has(pair(a, b));
  }

  /** One-way time. */
  delay(a: string, b: string): number {
    return a === b ? NEAR_MS : FAR_MS;
  }
}

function pair(a: string, b: string): string {
  return [a, b].sort().join("|");
}
