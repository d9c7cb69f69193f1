/**
 * Places for requests of model engines: memory at a decode replica first,
 * then the prefill, so that no prompt is read without room for its answer.
 */
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import { CallMode } from "../port.ts";
import type { Replica } from "../replicas/replica.ts";
import type { Engine } from "../routing/model.ts";
import { reservedTokens } from "./memory.ts";
import type { Placement, Placer } from "./placement.ts";
import { type Export, Prefills } from "./prefill.ts";
import type { GatewayRequest } from "./request.ts";
import type { Reservation, Reservations } from "./reservations.ts";

/** Time from a reservation to the first event, used for when to give up. */
const SERVICE_MS = 400;
/** A reservation that ends sooner than this is not used. */
const EXPIRY_MARGIN_MS = 100;

/** What a placement is made from. */
export type EngineSource = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly reservations: Reservations;
  readonly engine: Engine;
};

/** Places one request. */
export class EnginePlacement implements Placer {
  readonly #source: EngineSource;
  readonly #prefills: Prefills;
  #cancelWait: () => void = () => undefined;
  #reservation: Reservation | undefined;
  #export: Export | undefined;
  #place: Replica | undefined;

  constructor(source: EngineSource) {
    this.#source = source;
    this.#prefills = new Prefills(source.context, source.request);
  }

  async place(
    excluded: ReadonlySet<string>,
  ): Promise<Placement | GatewayError> {
    const { clock, metrics } = this.#source.context;
    const startedAt = clock.now();
    const reservation = await this.#reserve(excluded);
    if (typeof reservation === "string") return reservation;
    metrics.time(Timing.memoryWait, clock.now() - startedAt);
    this.#reservation = reservation;
    this.#place = reservation.replica;
    this.#export = await this.#prefills.run(reservation.replica.entry.hall);
    const late = clock.now() > reservation.expiresAt - EXPIRY_MARGIN_MS;
    if (late) {
      this.release();
      return GatewayError.noMemory;
    }
    return this.#placement(reservation);
  }

  async #reserve(
    excluded: ReadonlySet<string>,
  ): Promise<Reservation | GatewayError> {
    const { context, request, reservations, engine } = this.#source;
    const { receivedAt, route, limitAt, service } = request;
    const patience = context.tuning.firstEventPatienceMs;
    const wait = reservations.reserve({
      request: request.facts.id ?? "",
      service,
      tokens: reservedTokens(request.facts, engine),
      dueAt: receivedAt + route.objectiveMs,
      giveUpAt: Math.min(limitAt, receivedAt + patience) - SERVICE_MS,
      excluded,
    });
    this.#cancelWait = wait.cancel;
    const result = await wait.result;
    if (typeof result !== "string") return result;
    if (result === "no-replica") return GatewayError.noReplica;
    return GatewayError.noMemory;
  }

  #placement(reservation: Reservation): Placement {
    const { replica, id, tokens } = reservation;
    const made = this.#export;
    const address = made?.replica.entry.address ?? "";
    return {
      replica,
      tokens,
      ...(made ? { export: made } : {}),
      head: {
        mode: CallMode.whole,
        incarnation: replica.entry.incarnation,
        reservation: id,
        ...(made ? { export: { address, id: made.id } } : {}),
      },
    };
  }

  release(): void {
    if (this.#reservation) this.#source.reservations.drop(this.#reservation);
    if (this.#export) this.#prefills.drop(this.#export);
    this.taken();
    this.used();
  }

  taken(): void {
    this.#reservation = undefined;
    this.#export = undefined;
  }

  used(): void {
    const replica = this.#place;
    this.#place = undefined;
    if (!replica) return;
    replica.noteRoom();
    this.#source.reservations.look();
  }

  end(): void {
    this.#cancelWait();
    this.#prefills.end();
    this.release();
  }
}
