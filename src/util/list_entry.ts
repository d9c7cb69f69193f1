/** An entry of the platform's host list as it goes over the wire. */
import type { ListEntry } from "../core/mod.ts";

/** The wire's names; docs/PLATFORM.md. */
export type WireEntry = {
  readonly id: string;
  readonly kind: string;
  readonly hall: string;
  readonly region: string;
  readonly address: string;
  readonly service: string;
  readonly role: string;
  readonly leaving: boolean;
  readonly checks_orders: boolean;
  readonly slots: number;
  readonly prefill_tokens_per_second: number;
  readonly cache_tokens: number;
};

/** The core's entry for one from the wire. */
export function entryFromWire(one: WireEntry): ListEntry {
  return {
    id: one.id,
    kind: one.kind,
    hall: one.hall,
    region: one.region,
    address: one.address,
    service: one.service,
    role: one.role,
    leaving: one.leaving,
    checksOrders: one.checks_orders,
    slots: one.slots,
    prefillRate: one.prefill_tokens_per_second,
    cacheTokens: one.cache_tokens,
  };
}

/** The wire's entry for one of the core. */
export function entryToWire(one: ListEntry): WireEntry {
  const { checksOrders, prefillRate, cacheTokens, ...rest } = one;
  return {
    ...rest,
    checks_orders: checksOrders,
    prefill_tokens_per_second: prefillRate,
    cache_tokens: cacheTokens,
  };
}
