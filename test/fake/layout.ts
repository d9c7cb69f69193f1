/** Which hosts and upstreams a fake fleet has. */
import type { ListEntry } from "../../src/core/mod.ts";
import {
  DEFAULT_ENGINE,
  type EngineParameters,
} from "../../src/standins/engine/mod.ts";

/** An upstream of a layout. */
export type LaidUpstream = {
  readonly id: string;
  readonly hall: string;
  readonly service: string;
  readonly role: "prefill" | "decode" | "plain";
  readonly engine?: Partial<EngineParameters>;
  /** Whether it checks the fences of orders; it does unless told. */
  readonly checksOrders?: boolean;
};

/** A whole layout. */
export type Layout = {
  readonly hosts: readonly { readonly id: string; readonly hall: string }[];
  readonly upstreams: readonly LaidUpstream[];
};

const REGION = "region";

/** The platform's host list for a layout. */
export function listOf(layout: Layout): ListEntry[] {
  const hosts = layout.hosts.map((one) =>
    entry({ id: one.id, hall: one.hall, kind: "entry" })
  );
  const upstreams = layout.upstreams.map(upstreamEntry);
  return [...hosts, ...upstreams];
}

function upstreamEntry(one: LaidUpstream): ListEntry {
  const engine = { ...DEFAULT_ENGINE, ...one.engine };
  return entry({
    id: one.id,
    hall: one.hall,
    kind: "upstream",
    service: one.service,
    checksOrders: one.checksOrders ?? true,
    role: one.role,
    slots: engine.slots,
    prefillRate: engine.prefillRate,
    cacheTokens: engine.cacheTokens,
  });
}

function entry(given: Partial<ListEntry>): ListEntry {
  return {
    id: "",
    kind: "",
    hall: "",
    region: REGION,
    address: "",
    service: "",
    role: "",
    leaving: false,
    checksOrders: true,
    slots: 0,
    prefillRate: 0,
    cacheTokens: 0,
    ...given,
  };
}

/** Three halls with hosts, a model split in pools, and a plain service. */
export function smallLayout(hostsPerHall = 1): Layout {
  const halls = ["brest", "quimper", "lorient"];
  const hosts = halls.flatMap((hall) =>
    Array.from({ length: hostsPerHall }, (_, n) => ({
      id: `${hall}-${n + 1}`,
      hall,
    }))
  );
  const upstreams = halls.flatMap((hall): LaidUpstream[] => [
    { id: `p-${hall}`, hall, service: "recap-llm", role: "prefill" },
    { id: `d-${hall}`, hall, service: "recap-llm", role: "decode" },
    { id: `api-${hall}`, hall, service: "reel-api", role: "plain" },
  ]);
  return { hosts, upstreams };
}
