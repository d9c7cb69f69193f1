/** A queue of callbacks that are due at virtual times. */
import TinyQueue from "tinyqueue";

type Item = { readonly at: number; readonly sequence: number; run(): void };

/** Items in order of time, then of insertion. */
export class TimeQueue {
  #items = new TinyQueue<Item>(
    [],
    (a, b) => a.at - b.at || a.sequence - b.sequence,
  );
  #nextSequence = 0;

  /** The time of the first item; infinite if the queue is empty. */
  get nextAt(): number {
    return this.#items.peek()?.at ?? Infinity;
  }

  push(at: number, run: () => void): void {
    this.#items.push({ at, sequence: this.#nextSequence++, run });
  }

  /** Removes and returns the first item. */
  pop(): Item | undefined {
    return this.#items.pop();
  }
}
