/** The eras of a store, with nobody to tell of them. */
import { StoreEras } from "../../src/gateway/state/store_eras.ts";

/** No era is known yet. */
export function quietEras(): StoreEras {
  return new StoreEras({ note: () => undefined });
}
