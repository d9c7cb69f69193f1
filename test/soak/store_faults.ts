/** Faults of the store. */
import { StoreMode } from "../platform/store_standin.ts";
import { type Fault, FaultKind, type Undo } from "./fault_kinds.ts";
import { sleep } from "./sleep.ts";
import type { World } from "./world.ts";

const STORE_SLOW_MS = 500;
/** More than the writes of a run. */
const LOST_WRITES = 1000;
/** How long a store is unavailable before it is restored from a copy. */
const OUTAGE_MS = 700;
/**
 * The delay after which replicas write their entries to a store that is
 * available again.
 */
const RELIST_DELAY_MS = 1200;

/** Disrupts the store; the result ends that. */
export function injectStoreFault(world: World, kind: FaultKind): Undo {
  const { store } = world;
  const recover = () => {
    store.mode = StoreMode.up;
    store.delayMs = 0;
  };
  switch (kind) {
    case FaultKind.storeDown:
      store.mode = StoreMode.down;
      return recover;
    case FaultKind.storeSilent:
      store.mode = StoreMode.unresponsive;
      return recover;
    case FaultKind.storeLosesResponses:
      store.mode = StoreMode.responseLost;
      return recover;
    case FaultKind.storeSlow:
      store.delayMs = STORE_SLOW_MS;
      return recover;
    case FaultKind.storeLosesHistory:
      store.loseHistory();
      return () => undefined;
    default:
      store.mode = StoreMode.down;
      world.removeReadyEntries();
      return async () => {
        recover();
        await sleep(RELIST_DELAY_MS);
        for (const replica of world.readyReplicas()) world.putEntry(replica);
      };
  }
}

/**
 * Copies the store now and restores the copy when the fault ends. At that time
 * a replica starts to drain.
 */
export function restoreStore(
  world: World,
  fault: Fault,
  { hasOutage }: { readonly hasOutage: boolean },
): Undo {
  const { store } = world;
  const copy = store.copy();
  // Otherwise the counter soon passes the position from before the restore.
  if (hasOutage) store.advanceRevision(LOST_WRITES);
  return async () => {
    if (hasOutage) {
      store.mode = StoreMode.down;
      await sleep(OUTAGE_MS);
      store.mode = StoreMode.up;
    }
    store.restore(copy);
    const [draining] = world.readyReplicas().slice(
      fault.target % world.readyReplicas().length,
    );
    if (draining) await world.drain(draining);
    await sleep(RELIST_DELAY_MS);
    world.rewriteRows();
    // The run checks that all hosts still receive updates and apply this
    // version.
    world.changeConfig();
  };
}
