/**
 * Reservations of one placement whose replicas have not responded in time. Their
 * calls go on: where every call is slow, giving one up and repeating it would
 * never bring a response, and would leave memory reserved that nobody uses.
 */
import type { GatewayContext } from "../context.ts";
import type { Replica } from "../replicas/replica.ts";
import {
  dropReservation,
  isUsable,
  type PendingReservation,
  type Reservation,
} from "./reservations.ts";

/** A reservation that was requested, and where its prompt is prefilled. */
export type LateCall = {
  readonly pending: PendingReservation;
  readonly prefill: Replica | undefined;
};

/** A reservation that was granted late. */
export type LateReservation = {
  readonly reservation: Reservation;
  readonly prefill: Replica | undefined;
};

/** Options of {@link LateReservations}. */
export type LateReservationsOptions = {
  readonly context: GatewayContext;
  /** Called when a reservation has been granted. */
  readonly onGranted: () => void;
};

/** The late reservations of one placement. */
export class LateReservations {
  readonly #options: LateReservationsOptions;
  readonly #calls = new Set<LateCall>();
  readonly #granted: LateReservation[] = [];
  #resolve: () => void = () => undefined;
  #isClosed = false;

  constructor(options: LateReservationsOptions) {
    this.#options = options;
  }

  /** Keeps a call whose response is late. */
  add(call: LateCall): void {
    this.#calls.add(call);
    void call.pending.result.then((result) => {
      // A request may wait for it again in the meantime.
      if (!this.#calls.delete(call) || typeof result === "string") return;
      if (this.#isClosed || !this.#isUsable(result)) return this.#drop(result);
      this.#granted.push({ reservation: result, prefill: call.prefill });
      this.#resolve();
      this.#options.onGranted();
    });
  }

  /** Takes the call to a replica out, to wait for it again. */
  takeCall(replica: Replica): LateCall | undefined {
    const call = [...this.#calls].find(({ pending }) =>
      pending.replica === replica
    );
    if (call) this.#calls.delete(call);
    return call;
  }

  /** Takes a reservation out that was granted and has not expired. */
  take(): LateReservation | undefined {
    this.#dropExpired();
    return this.#granted.shift();
  }

  /** Resolves once there is a reservation to take. */
  granted(): Promise<"late"> {
    this.#dropExpired();
    if (this.#granted.length > 0) return Promise.resolve("late");
    return new Promise((resolve) => this.#resolve = () => resolve("late"));
  }

  #isUsable(reservation: Reservation): boolean {
    return isUsable(reservation, this.#options.context.clock.now());
  }

  #dropExpired(): void {
    for (const granted of this.#granted.splice(0)) {
      const { reservation } = granted;
      if (this.#isUsable(reservation)) this.#granted.push(granted);
      else this.#drop(reservation);
    }
  }

  /** Releases all reservations, also those that are granted from now on. */
  close(): void {
    this.#isClosed = true;
    for (const { reservation } of this.#granted.splice(0)) {
      this.#drop(reservation);
    }
  }

  #drop(reservation: Reservation): void {
    const { context } = this.#options;
    context.metrics.count("reservations_unused");
    dropReservation(context, reservation);
  }
}
