/** Event loop that steps the core and carries out its orders. */
import { type Event, type Order, step, type World } from "../core/mod.ts";
import { monotonicNow } from "./clock.ts";

/** Interval between ticks of the core. */
const TICK_MS = 20;

export type Loop = {
  /** Queues an event for the core's next step. */
  push(event: Event): void;
  stop(): void;
};

/** Starts the loop; events that arrive together are handled in one step. */
export function startLoop(
  world: World,
  carryOut: (orders: readonly Order[]) => void,
): Loop {
  let events: Event[] = [];
  let scheduled = false;
  const run = (): void => {
    scheduled = false;
    const batch = events;
    events = [];
    carryOut(step(world, batch, monotonicNow()));
  };
  const push = (event: Event): void => {
    events.push(event);
    if (scheduled) return;
    scheduled = true;
    setImmediate(run);
  };
  const timer = setInterval(() => push({ type: "tick" }), TICK_MS);
  return { push, stop: () => clearInterval(timer) };
}
