/** Remembers which incarnations of replicas were reported as draining. */
import { evictOldest } from "../../util/evict_oldest.ts";

/** Maximum number of draining incarnations that are stored. */
const MAX_STORED = 10_000;
/** Maximum number of draining incarnations reported although not listed. */
const MAX_UNLISTED = 200;

/** Draining incarnations; later listings don't undo it. */
export class DrainingIncarnations {
  readonly #all = new Set<string>();
  /** Those whose entries don't say so yet. */
  readonly #unmarked = new Set<string>();

  has(incarnation: string): boolean {
    return this.#all.has(incarnation);
  }

  /** Those recorded since the last listing was applied. */
  get unmarked(): ReadonlySet<string> {
    return this.#unmarked;
  }

  /** Records that a listing was applied, with its draining replicas. */
  clearUnmarked(): void {
    this.#unmarked.clear();
  }

  /** Records an incarnation that is listed as draining. */
  noteListed(incarnation: string): void {
    this.#all.add(incarnation);
    evictOldest(this.#all, MAX_STORED);
  }

  /** Records incarnations; returns those not recorded before. */
  note(incarnations: readonly string[]): string[] {
    const added = incarnations.filter((incarnation) =>
      !this.#all.has(incarnation)
    );
    for (const incarnation of added) {
      this.#all.add(incarnation);
      this.#unmarked.add(incarnation);
    }
    evictOldest(this.#all, MAX_STORED);
    evictOldest(this.#unmarked, MAX_STORED);
    return added;
  }

  /**
   * Those to report to other hosts. Includes recent ones that are no longer
   * listed, since another host may adopt an older listing.
   */
  toReport(isListed: (incarnation: string) => boolean): string[] {
    const all = [...this.#all];
    const recent = new Set(all.slice(-MAX_UNLISTED));
    return all.filter((incarnation) =>
      recent.has(incarnation) || isListed(incarnation)
    );
  }
}
