import { StoreEras } from "../../src/gateway/state/store_eras.ts";

/** Store eras for tests, with no known era and a log that does nothing. */
export function emptyStoreEras(): StoreEras {
  return new StoreEras({ note: () => undefined });
}
