/** The store's stand-in at an address of the test process. */
import type { Server } from "node:http";
import {
  listen as listenAt,
  startStore as startStoreAt,
  type StoreStandin,
} from "../../deploy/standins/store.ts";
import { LOOPBACK } from "../loopback.ts";

export {
  send,
  type StoreCopy,
  StoreMode,
  type StoreStandin,
  textOf,
} from "../../deploy/standins/store.ts";

/** Starts a store on a free port. */
export function startStore(): Promise<StoreStandin> {
  return startStoreAt(LOOPBACK);
}

/** Listens on a free loopback port; returns the address. */
export function listen(server: Server): Promise<string> {
  return listenAt(server, LOOPBACK);
}
