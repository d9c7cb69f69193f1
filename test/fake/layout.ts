/** Hosts and upstreams of a fake fleet. */
import type { ListEntry } from "../../src/core/mod.ts";
import {
  DEFAULT_ENGINE,
  type EngineParameters,
} from "../../src/standins/engine/mod.ts";

/** An upstream of a fake fleet. */
export type UpstreamLayout = {
  readonly id: string;
  readonly hall: string;
  readonly service: string;
  readonly role: "prefill" | "decode" | "plain";
  readonly engine?: Partial<EngineParameters>;
  /** Whether it checks the fences of orders; true by default. */
  readonly checksOrders?: boolean;
};

/** The hosts and upstreams of a fake fleet. */
export type Layout = {
  readonly hosts: readonly { readonly id: string; readonly hall: string }[];
  readonly upstreams: readonly UpstreamLayout[];
};

const REGION = "region";

/** Returns the platform's host list for a layout. */
export function hostListOf(layout: Layout): ListEntry[] {
  const hosts = layout.hosts.map((host) =>
    listEntry({ id: host.id, hall: host.hall, kind: "entry" })
  );
  const upstreams = layout.upstreams.map(upstreamEntry);
  return [...hosts, ...upstreams];
}

function upstreamEntry(upstream: UpstreamLayout): ListEntry {
  const engine = { ...DEFAULT_ENGINE, ...upstream.engine };
  return listEntry({
    id: upstream.id,
    hall: upstream.hall,
    kind: "upstream",
    service: upstream.service,
    checksOrders: upstream.checksOrders ?? true,
    role: upstream.role,
    slots: engine.slots,
    prefillRate: engine.prefillRate,
    cacheTokens: engine.cacheTokens,
  });
}

function listEntry(values: Partial<ListEntry>): ListEntry {
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
    ...values,
  };
}

/**
 * Returns three halls, each with hosts, a prefill, a decode and a plain
 * upstream.
 */
export function smallLayout(hostsPerHall = 1): Layout {
  const halls = ["brest", "quimper", "lorient"];
  const hosts = halls.flatMap((hall) =>
    Array.from({ length: hostsPerHall }, (_, n) => ({
      id: `${hall}-${n + 1}`,
      hall,
    }))
  );
  const upstreams = halls.flatMap((hall): UpstreamLayout[] => [
    { id: `p-${hall}`, hall, service: "recap-llm", role: "prefill" },
    { id: `d-${hall}`, hall, service: "recap-llm", role: "decode" },
    { id: `api-${hall}`, hall, service: "reel-api", role: "plain" },
  ]);
  return { hosts, upstreams };
}
