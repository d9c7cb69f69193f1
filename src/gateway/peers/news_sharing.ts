/**
 * Tells the hosts that this one has links to what becomes known here, and
 * passes on what they tell. The links of the state of the fleet are a tree over
 * all hosts that reach each other; what is news goes over each of them once.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Link } from "./link.ts";

/** What is shared, and over which links. */
export type SharedNews<News> = {
  readonly clock: Clock;
  /**
   * Least time between two messages over a link. The first piece of news goes
   * at once; what comes within this time after it is gathered, so whatever
   * happens to many replicas costs a link no more messages.
   */
  readonly gatherMs: Milliseconds;
  /** The links that stand. */
  readonly links: () => readonly Link[];
  /** All that is known here. */
  readonly all: () => News;
  /** One piece of news of several, the newest last. */
  readonly merge: (several: readonly News[]) => News;
  /** The message for other hosts; undefined when there is nothing to tell. */
  readonly encode: (news: News) => object | undefined;
};

/** Shares one kind of news with the hosts at the other ends of links. */
export class NewsSharing<News> {
  readonly #source: SharedNews<News>;
  #pending: { readonly news: News; readonly from: unknown }[] = [];
  #flushedAt: Milliseconds = -Infinity;

  constructor(source: SharedNews<News>) {
    this.#source = source;
  }

  /** A link stands: its other end is told all, for it may know nothing. */
  greet(link: Link): void {
    this.#send(link, this.#source.all());
  }

  /** Something became known; `from` is the link it came over, if any. */
  share(news: News, from: unknown): void {
    this.#pending.push({ news, from });
    if (this.#pending.length > 1) return;
    const { clock, gatherMs } = this.#source;
    const waitMs = this.#flushedAt + gatherMs - clock.now();
    clock.after(Math.max(0, waitMs), () => this.#flush());
  }

  #flush(): void {
    this.#flushedAt = this.#source.clock.now();
    const pending = this.#pending;
    this.#pending = [];
    for (const link of this.#source.links()) {
      const others = pending.filter(({ from }) => from !== link);
      this.#send(link, this.#source.merge(others.map(({ news }) => news)));
    }
  }

  #send(link: Link, news: News): void {
    const message = this.#source.encode(news);
    if (message) link.send(message);
  }
}
