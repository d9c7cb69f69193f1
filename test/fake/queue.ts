/** A queue of things to do at points of virtual time. */
import TinyQueue from "tinyqueue";

type Item = { readonly at: number; readonly order: number; run(): void };

/** Items ordered by time, then by insertion. */
export class TimeQueue {
  #items = new TinyQueue<Item>([], (a, b) => a.at - b.at || a.order - b.order);
  #order = 0;

  /** The time of the first item. */
  get nextAt(): number {
    return this.#items.peek()?.at ?? Infinity;
  }

  /** Adds an item. */
  push(at: number, run: () => void): void {
    this.#items.push({ at, order: this.#order++, run });
  }

  /** Takes the first item. */
  pop(): Item | undefined {
    return this.#items.pop();
  }
}
