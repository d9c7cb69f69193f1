/** Places for requests of plain services: the least busy replica. */
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import { CallMode } from "../port.ts";
import { chooseReplica } from "../replicas/choice.ts";
import type { Placement, Placer, PlaceRefusal } from "./placement.ts";
import type { GatewayRequest } from "./request.ts";

/** Places one request; nothing is held. */
export class PlainPlacement implements Placer {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;

  constructor(context: GatewayContext, request: GatewayRequest) {
    this.#context = context;
    this.#request = request;
  }

  place(excluded: ReadonlySet<string>): Promise<Placement | PlaceRefusal> {
    const { replicas, clock, random, self, tuning } = this.#context;
    const open = replicas.openOf(this.#request.service);
    const query = {
      hall: self.hall,
      farCharge: tuning.farCharge,
      now: clock.now(),
      chance: random(),
      excluded,
    };
    const replica = chooseReplica(
      open,
      query,
      (one) => one.calls / Math.max(1, one.entry.slots),
    );
    if (!replica) return Promise.resolve({ error: GatewayError.noReplica });
    const { incarnation } = replica.entry;
    const head = { mode: CallMode.whole, incarnation };
    return Promise.resolve({ replica, tokens: 0, head });
  }

  release(): void {}

  failed(): void {}

  taken(): void {}

  used(): void {}

  end(): void {}
}
