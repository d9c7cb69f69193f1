/**
 * Tells the hosts that this one has links to what becomes known of crashes, and
 * passes on what they tell. The links of the state of the fleet are a tree over
 * all hosts that reach each other; what is news goes over each of them once.
 */
import type { Clock } from "../clock.ts";
import type { Link } from "../peers/link.ts";
import {
  type CrashesMessage,
  decodeCrashes,
  encodeCrashes,
} from "./crash_messages.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { CrashNews } from "./model.ts";

/**
 * News is gathered for so long: where many replicas crash at once a host sends
 * 50 messages a second over each link, not one for each replica.
 */
const GATHER_MS = 20;

type Pending = { readonly news: CrashNews; readonly from: unknown };

/** What sharing goes over. */
export type CrashSharingSource = {
  readonly clock: Clock;
  readonly crashes: CrashWatch;
  /** The links that stand. */
  readonly links: () => readonly Link[];
};

/** Shares crashes with the hosts at the other ends of links. */
export class CrashSharing {
  readonly #source: CrashSharingSource;
  #pending: Pending[] = [];

  constructor(source: CrashSharingSource) {
    this.#source = source;
    source.crashes.listen((news, from) => this.#gather({ news, from }));
  }

  /** A link stands: its other end is told all, for it may know nothing. */
  greet(link: Link): void {
    this.#send(link, this.#source.crashes.all());
  }

  /** Takes what the other end of a link tells. */
  take(link: Link, message: CrashesMessage): void {
    const { clock, crashes } = this.#source;
    crashes.take(decodeCrashes(message, clock.now()), link);
  }

  #gather(pending: Pending): void {
    this.#pending.push(pending);
    if (this.#pending.length > 1) return;
    this.#source.clock.after(GATHER_MS, () => this.#flush());
  }

  #flush(): void {
    const pending = this.#pending;
    this.#pending = [];
    for (const link of this.#source.links()) {
      const others = pending.filter(({ from }) => from !== link)
        .map(({ news }) => news);
      this.#send(link, {
        records: others.flatMap((one) => one.records),
        acquittals: others.flatMap((one) => one.acquittals),
      });
    }
  }

  #send(link: Link, news: CrashNews): void {
    if (news.records.length + news.acquittals.length === 0) return;
    link.send(encodeCrashes(news, this.#source.clock.now()));
  }
}
