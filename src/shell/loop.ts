/** The one loop: events in, a step of the core, orders out. */
import { type Event, type Order, step, type World } from "../core/mod.ts";
import { monotonicNow } from "./clock.ts";

/** Time between two ticks of the core. */
const TICK_MS = 20;

/** A running loop. */
export type Loop = {
  /** Gives the core an event. */
  push(event: Event): void;
  stop(): void;
};

/** Starts the loop of a world. */
export function startLoop(
  world: World,
  carryOut: (orders: readonly Order[]) => void,
): Loop {
  let events: Event[] = [];
  let planned = false;
  const run = (): void => {
    planned = false;
    const batch = events;
    events = [];
    carryOut(step(world, batch, monotonicNow()));
  };
  const push = (event: Event): void => {
    events.push(event);
    if (planned) return;
    planned = true;
    setImmediate(run);
  };
  const timer = setInterval(() => push({ type: "tick" }), TICK_MS);
  return { push, stop: () => clearInterval(timer) };
}
