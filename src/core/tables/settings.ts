/** Versioned settings rows and each customer's setup as they give it. */
import type { CustomerId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/** What a customer's template and parameters come to. */
export type Setup = {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly plainServices: readonly string[];
  readonly firstTokenMs: Milliseconds;
  readonly betweenTokensMs: Milliseconds;
  /** 0 (least) to 9. */
  readonly priority: number;
  /** Weight of the customer's fair share. */
  readonly share: number;
  /** Prompts with at most this many uncached tokens skip the prefill pool. */
  readonly wholePrefillTokens: number;
  /** A keyed request that can't be checked: "refuse" it or "serve" it. */
  readonly doubt: "refuse" | "serve";
};

/** One row; null stands for a removed one. */
export type SettingsRow = {
  readonly key: string;
  readonly version: number;
  readonly value: string | null;
};

/** All rows that this host knows. */
export type Settings = {
  /** Every accepted row up to this version is known here. */
  version: number;
  readonly rows: Map<string, SettingsRow>;
  /** Customers by the hash of their API keys. */
  readonly customersByKey: Map<string, CustomerId>;
  /** Setups worked out so far; emptied when rows change. */
  readonly setups: Map<CustomerId, Setup>;
  /** Upstreams with a planned stop. */
  readonly stops: Set<UpstreamId>;
  /** Rows that could not be read, kept at their last good version. */
  readonly rejected: Map<string, string>;
};

/** A settings table without rows. */
export function emptySettings(): Settings {
  return {
    version: 0,
    rows: new Map(),
    customersByKey: new Map(),
    setups: new Map(),
    stops: new Set(),
    rejected: new Map(),
  };
}
