/** Ends this host: nothing new, then the process may go. */
import { order, type World } from "../world.ts";

/** Says that the process may end once it has nothing left to do. */
export function finishStop(world: World): void {
  if (!world.stopping || world.stopped) return;
  if (world.requests.size > 0 || world.releases.size > 0) return;
  world.stopped = true;
  order(world, { type: "stopped" });
}
