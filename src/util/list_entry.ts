/** Conversion of host list entries to and from the platform's wire format. */
import type { ListEntry } from "../core/mod.ts";

/** An entry in the wire format; see docs/PLATFORM.md. */
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

/** Converts an entry from the wire format. */
export function decodeListEntry(entry: WireEntry): ListEntry {
  return {
    id: entry.id,
    kind: entry.kind,
    hall: entry.hall,
    region: entry.region,
    address: entry.address,
    service: entry.service,
    role: entry.role,
    leaving: entry.leaving,
    checksOrders: entry.checks_orders,
    slots: entry.slots,
    prefillRate: entry.prefill_tokens_per_second,
    cacheTokens: entry.cache_tokens,
  };
}

/** Converts an entry to the wire format. */
export function encodeListEntry(entry: ListEntry): WireEntry {
  const { checksOrders, prefillRate, cacheTokens, ...rest } = entry;
  return {
    ...rest,
    checks_orders: checksOrders,
    prefill_tokens_per_second: prefillRate,
    cache_tokens: cacheTokens,
  };
}
