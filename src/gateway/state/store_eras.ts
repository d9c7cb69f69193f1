/**
 * The eras of the store: an era begins whenever the store comes back from an older
 * copy of itself. Its revisions go back with it, so what was read in an earlier era
 * is kept as a belief but never makes an answer of a later one look old.
 *
 * For a while after its return the store lacks what is still being written again
 * and has what had already gone. Until then the era is not settled.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { EventLog } from "../observe/event_log.ts";
import {
  eraOf,
  type Position,
  positionOf,
  revisionOf,
  type StorePlace,
} from "../position.ts";

/**
 * What the operator and replicas wrote in the lost seconds is there again after
 * this time: entries that lapse while the store is away are back within about
 * two seconds, and nothing longer is published for those that a copy lacks.
 */
export const SETTLE_MS = 2000;

/** What was known when a call to the store began. */
export type CallStart = { readonly newest: Position };

/** Told of each new era, after it is known. */
export type EraListener = () => void;

/** Which era it is, and since when that is known here. */
export class StoreEras {
  readonly #events: EventLog;
  readonly #listeners: EraListener[] = [];
  /** The latest place that was heard of. */
  #newest: Position = -1;
  #heardAt: Milliseconds = -Infinity;
  #settledAt: Milliseconds = -Infinity;
  #isFirst = false;
  /** As the store's last answer named it. */
  #told: number | undefined;

  constructor(events: EventLog) {
    this.#events = events;
  }

  /** Calls `listener` after each change of the era. */
  listen(listener: EraListener): void {
    this.#listeners.push(listener);
  }

  /** The era now, as far as is known here; 0 where the store told none. */
  get era(): number {
    return eraOf(this.#newest);
  }

  /** A place of the present era as the store knows it. */
  storePlace(position: Position): StorePlace {
    const era = this.#told;
    return {
      revision: revisionOf(position),
      ...(era === undefined ? {} : { era }),
    };
  }

  /** What a call that begins now can't lie before, unless the store went back. */
  start(): CallStart {
    return { newest: this.#newest };
  }

  /**
   * The place of an answer, by what was known when its call began. A store that
   * names no new era gives itself away: answers are linearizable, so one whose
   * revision is lower than what was known before the call is of the next era.
   * Dropped as older, such answers would leave a host deaf until the counter has
   * passed the old place.
   */
  place({ revision, era }: StorePlace, { newest }: CallStart): Position {
    const known = eraOf(newest);
    // A late answer of an earlier era names none that can be asked for now.
    if (known === this.era) this.#told = era;
    if (era !== undefined && era > known) return positionOf(era, revision);
    const isBack = revision < revisionOf(newest);
    return positionOf(isBack ? known + 1 : known, revision);
  }

  /**
   * Somebody was told this place. With `isSettled`, by a host that has known its
   * era for long enough.
   */
  hear(
    position: Position,
    now: Milliseconds,
    { isSettled = false }: { readonly isSettled?: boolean } = {},
  ): void {
    const before = this.#newest;
    const isNew = eraOf(position) > this.era;
    this.#newest = Math.max(before, position);
    if (!isNew) return isSettled ? this.settle(eraOf(position)) : undefined;
    this.#isFirst = before < 0;
    this.#heardAt = now;
    this.#settledAt = isSettled ? now : now + SETTLE_MS;
    if (this.#isFirst) return;
    this.#events.note("storeRestored", {
      era: this.era,
      before: eraOf(before),
      revision: revisionOf(position),
      held: revisionOf(before),
    });
    for (const listener of this.#listeners) listener();
  }

  /** Somebody has known this era for long enough. */
  settle(era: number): void {
    if (era === this.era) this.#settledAt = -Infinity;
  }

  /** How long until it is settled; 0 where it is. */
  unsettledForMs(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#settledAt - now);
  }

  /** By now all that the store had lost is surely written again. */
  isSettled(now: Milliseconds): boolean {
    return now >= this.#settledAt;
  }

  /**
   * This host has known no earlier era and can't tell whether this one has just
   * begun: others may know more than what it reads.
   */
  isUnproven(now: Milliseconds): boolean {
    return this.#isFirst && !this.isSettled(now);
  }

  /** How long the era has been known here; Infinity: there was none before. */
  ageMs(now: Milliseconds): Milliseconds {
    return now - this.#heardAt;
  }
}
