/** Remembers which replicas are no longer listed. */
import { evictOldest } from "../../util/evict_oldest.ts";
import { eraOf, type Position } from "../position.ts";
import type { ListingChange } from "./listing_change.ts";

/** Maximum number of removed incarnations that are stored. */
const MAX_STORED = 10_000;

/** Incarnations that are no longer listed, with the position of the removal. */
export class RemovedReplicas {
  readonly #positions = new Map<string, Position>();

  /** Records what a listing at a position has added and removed. */
  note({ added, removed }: ListingChange, position: Position): void {
    for (const { incarnation } of added) this.#positions.delete(incarnation);
    for (const { incarnation } of removed) {
      this.#positions.set(incarnation, position);
      evictOldest(this.#positions, MAX_STORED);
    }
  }

  has(incarnation: string): boolean {
    return this.#positions.has(incarnation);
  }

  /** Whether the incarnation was removed in an earlier era than the position's. */
  hasFromEarlierEra(incarnation: string, position: Position): boolean {
    const removedAt = this.#positions.get(incarnation);
    return removedAt !== undefined && eraOf(removedAt) < eraOf(position);
  }
}
