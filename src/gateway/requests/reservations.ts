/**
 * Reservations of memory at decode replicas. A replica's own answer decides:
 * there is no ledger that could be wrong. A request without memory waits here
 * in order of its due time, those that can't be on time any more last.
 */
import type { Milliseconds } from "../../core/ids.ts";
import type { GatewayContext } from "../context.ts";
import { chooseReplica } from "../replicas/choice.ts";
import { ReplicaStage } from "../replicas/model.ts";
import type { Replica } from "../replicas/replica.ts";

/** How long a reservation is asked for. */
const LIFE_MS = 2000;
/** Time from a reservation to the first event, at best. */
const SERVICE_MS = 250;
/** The queue is looked at again after this time when nothing else happens. */
const LOOK_MS = 50;

/** Memory that is reserved at a replica. */
export type Reservation = {
  readonly replica: Replica;
  readonly id: string;
  readonly tokens: number;
  readonly expiresAt: Milliseconds;
};

/** A request that waits for memory. */
export type Wait = {
  readonly request: string;
  readonly service: string;
  readonly tokens: number;
  /** Hall that the request came to. */
  readonly dueAt: Milliseconds;
  readonly giveUpAt: Milliseconds;
  /** Replicas not to be asked. */
  readonly excluded: ReadonlySet<string>;
};

/** Why a request got no memory. */
export type NoReservation = "no-replica" | "no-memory" | "cancelled";

type Entry = Wait & {
  trying: boolean;
  tries: number;
  done: boolean;
  resolve(result: Reservation | NoReservation): void;
};

/** The requests of this host that wait for memory. */
export class Reservations {
  readonly #context: GatewayContext;
  #entries: Entry[] = [];
  #cancelTimer: (() => void) | undefined;

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.#entries.length;
  }

  /** Waits for memory; `cancel` ends the wait. */
  reserve(wait: Wait): {
    readonly result: Promise<Reservation | NoReservation>;
    cancel(): void;
  } {
    let entry: Entry | undefined;
    const result = new Promise<Reservation | NoReservation>((resolve) => {
      entry = { ...wait, trying: false, tries: 0, done: false, resolve };
      this.#entries.push(entry);
    });
    this.look();
    return {
      result,
      cancel: () => entry && this.#finish(entry, "cancelled"),
    };
  }

  /** Goes through those that wait; called also when memory became free. */
  look(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    const now = this.#context.clock.now();
    for (const entry of inOrder(this.#entries, now)) this.#lookAt(entry, now);
    if (this.#entries.length === 0) return;
    this.#cancelTimer = this.#context.clock.after(LOOK_MS, () => this.look());
  }

  #lookAt(entry: Entry, now: Milliseconds): void {
    if (entry.trying || entry.done) return;
    if (now >= entry.giveUpAt) return this.#finish(entry, "no-memory");
    const open = this.#context.replicas.openOf(entry.service).filter((one) =>
      one.entry.stage === ReplicaStage.decode
    );
    if (open.length === 0) return this.#finish(entry, "no-replica");
    const ready = open.filter((one) => one.fullUntil <= now);
    const replica = chooseReplica(ready, {
      hall: this.#context.self.hall,
      farCharge: this.#context.tuning.farCharge,
      now,
      chance: this.#context.random(),
      excluded: entry.excluded,
    }, (one) => one.tokens / this.#memoryOf(entry.service));
    if (replica) void this.#try(entry, replica);
  }

  #memoryOf(service: string): number {
    const engine = this.#context.routes.service(service)?.engine;
    return Math.max(1, engine?.cacheTokens ?? 1);
  }

  async #try(entry: Entry, replica: Replica): Promise<void> {
    const { clock, dialect, pool, tuning, metrics } = this.#context;
    entry.trying = true;
    entry.tries += 1;
    replica.tokens += entry.tokens;
    const askedAt = clock.now();
    const call = dialect.reserve(entry.tokens, LIFE_MS);
    const place = replica.entry;
    const answer = await pool.small(place, call, tuning.reserveTimeoutMs);
    replica.tokens -= entry.tokens;
    entry.trying = false;
    const id = answer?.status === 200
      ? dialect.readReservation(answer.body)
      : undefined;
    if (id === undefined) {
      metrics.count("reservations_refused");
      if (answer) replica.noteFull(clock.now());
      else replica.noteFailure(clock.now(), true);
      if (!entry.done) this.look();
      return;
    }
    replica.noteRoom();
    const expiresAt = askedAt + LIFE_MS;
    const reservation = { replica, id, tokens: entry.tokens, expiresAt };
    if (entry.done) return this.drop(reservation);
    metrics.count("reservations_made");
    this.#finish(entry, reservation);
  }

  /** Lets go of memory that no request will use. */
  drop(reservation: Reservation): void {
    const { dialect, pool, tuning } = this.#context;
    const call = dialect.dropReservation(reservation.id);
    const place = reservation.replica.entry;
    void pool.small(place, call, tuning.reserveTimeoutMs);
  }

  #finish(entry: Entry, result: Reservation | NoReservation): void {
    if (entry.done) return;
    entry.done = true;
    this.#entries = this.#entries.filter((one) => one !== entry);
    entry.resolve(result);
  }
}

/** Those that can still be on time by their due time, then the others. */
export function inOrder<One extends Pick<Wait, "dueAt">>(
  waits: readonly One[],
  now: Milliseconds,
): One[] {
  const late = (one: One) => now + SERVICE_MS > one.dueAt ? 1 : 0;
  return [...waits].sort((a, b) => late(a) - late(b) || a.dueAt - b.dueAt);
}
