/**
 * Tracks the eras of the store. A new era begins whenever the store is restored
 * from an older backup, which also resets its revisions. State that was read in
 * an earlier era stays in use, but never makes a response of a later era stale.
 *
 * Right after a restore the store lacks entries that have yet to be rewritten
 * and contains entries that had already been deleted. The era is unsettled
 * until `SETTLE_MS` have passed, or until another host reports it as settled.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { EventLog } from "../observe/event_log.ts";
import {
  eraOf,
  type Position,
  positionOf,
  revisionOf,
  type StorePosition,
} from "../position.ts";

/**
 * The operator and the replicas rewrite within this time what a restore has
 * lost: entries that expire while the store is unavailable are back within about
 * two seconds.
 */
export const SETTLE_MS = 2000;

/** The newest position known when a call to the store began. */
export type CallStart = { readonly newest: Position };

/** Called after each change of the era. */
export type EraListener = () => void;

/** Tracks the current era and when this host first observed it. */
export class StoreEras {
  readonly #events: EventLog;
  readonly #listeners: EraListener[] = [];
  /** The newest position observed so far. */
  #newest: Position = -1;
  #observedAt: Milliseconds = -Infinity;
  #settledAt: Milliseconds = -Infinity;
  #isFirstEra = false;
  /** The era that the store's last response reported. */
  #reportedEra: number | undefined;

  constructor(events: EventLog) {
    this.#events = events;
  }

  listen(listener: EraListener): void {
    this.#listeners.push(listener);
  }

  /** The newest known era; 0 if the store has reported none. */
  get era(): number {
    return eraOf(this.#newest);
  }

  /** Converts a position of the current era to the store's revision and era. */
  toStorePosition(position: Position): StorePosition {
    const era = this.#reportedEra;
    return {
      revision: revisionOf(position),
      ...(era === undefined ? {} : { era }),
    };
  }

  /**
   * Snapshot for a call that begins now: its response can only have a lower
   * position if the store is restored.
   */
  beginCall(): CallStart {
    return { newest: this.#newest };
  }

  /**
   * The position of a response, given the snapshot from the start of its call.
   * Also detects a restore when the store reports no new era: reads are
   * linearizable, so a revision below the one known before the call belongs to
   * the next era. If such responses were dropped as stale, the host would
   * ignore the store until its revision exceeds the old one.
   */
  resolvePosition(
    { revision, era }: StorePosition,
    { newest }: CallStart,
  ): Position {
    const known = eraOf(newest);
    // A late response from an earlier era must not replace the reported era.
    if (known === this.era) this.#reportedEra = era;
    if (era !== undefined && era > known) return positionOf(era, revision);
    const isRestored = revision < revisionOf(newest);
    return positionOf(isRestored ? known + 1 : known, revision);
  }

  /**
   * Records a position that the store or another host reported. `isSettled`:
   * the reporting host considers the era settled.
   */
  observe(
    position: Position,
    now: Milliseconds,
    { isSettled = false }: { readonly isSettled?: boolean } = {},
  ): void {
    const before = this.#newest;
    const isNew = eraOf(position) > this.era;
    this.#newest = Math.max(before, position);
    if (!isNew) {
      return isSettled ? this.markSettled(eraOf(position)) : undefined;
    }
    this.#isFirstEra = before < 0;
    this.#observedAt = now;
    this.#settledAt = isSettled ? now : now + SETTLE_MS;
    if (this.#isFirstEra) return;
    this.#events.note("storeRestored", {
      era: this.era,
      before: eraOf(before),
      revision: revisionOf(position),
      held: revisionOf(before),
    });
    for (const listener of this.#listeners) listener();
  }

  /** Marks the era as settled if it is the current one. */
  markSettled(era: number): void {
    if (era === this.era) this.#settledAt = -Infinity;
  }

  /** Time until the era is settled; 0 if it is. */
  unsettledForMs(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#settledAt - now);
  }

  /** Whether everything that a restore lost is assumed to be rewritten. */
  isSettled(now: Milliseconds): boolean {
    return now >= this.#settledAt;
  }

  /**
   * Whether this host has observed no earlier era and the current one may have
   * just begun: other hosts may have newer state than the store.
   */
  isUnverified(now: Milliseconds): boolean {
    return this.#isFirstEra && !this.isSettled(now);
  }

  /** Time since this host first observed the era; Infinity before the first. */
  ageMs(now: Milliseconds): Milliseconds {
    return now - this.#observedAt;
  }
}
