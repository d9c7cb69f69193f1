/** Faults that are injected into a trial. */
import type { EngineParameters } from "../../src/standins/engine/mod.ts";
import type { FakeFleet } from "../../test/fake/fleet.ts";
import { PLATFORM } from "../../test/fake/network.ts";

export type Disturbance = {
  /** Engine parameters that override the workload's. */
  readonly engine: Partial<EngineParameters>;
  /** The share of callers that disconnect early. */
  readonly cancelShare: number;
  /** Schedules the faults in the period of `span` milliseconds after `from`. */
  schedule(fleet: FakeFleet, from: number, span: number): void;
};

const NO_DISTURBANCE: Disturbance = {
  engine: {},
  cancelShare: 0,
  schedule: () => undefined,
};

function loseCacheEvents(share: number): Disturbance {
  const apply = (fleet: FakeFleet): void => {
    for (const upstream of fleet.upstreams.values()) {
      upstream.cacheEventLossRate = share;
    }
  };
  return { ...NO_DISTURBANCE, schedule: apply };
}

function disturbOnce(
  run: (fleet: FakeFleet) => void,
  share: number,
  engine: Partial<EngineParameters> = {},
): Disturbance {
  return {
    ...NO_DISTURBANCE,
    engine,
    schedule: (fleet, from, span) => {
      fleet.queue.push(from + span * share, () => run(fleet));
    },
  };
}

/** All disturbances by name. */
export const DISTURBANCES: Readonly<Record<string, Disturbance>> = {
  none: NO_DISTURBANCE,
  "reports 1 s late": { ...NO_DISTURBANCE, engine: { reportLagMs: 1000 } },
  "reports 2 s late": { ...NO_DISTURBANCE, engine: { reportLagMs: 2000 } },
  "cache events 20% lost": loseCacheEvents(0.2),
  "one prefill slow": disturbOnce((fleet) => {
    fleet.upstream("p-0").engine.slowdown = 2;
  }, 0.2),
  "one prefill dies": disturbOnce((fleet) => {
    fleet.upstream("p-0").crash();
    fleet.after(10_000, () => fleet.upstream("p-0").restart());
  }, 0.45),
  "one decode dies": disturbOnce((fleet) => {
    fleet.upstream("d-0").crash();
    fleet.after(10_000, () => fleet.upstream("d-0").restart());
  }, 0.45),
  "10% of callers leave": { ...NO_DISTURBANCE, cancelShare: 0.1 },
  "a link stalls 2 s": disturbOnce((fleet) => {
    fleet.upstream("p-0").engine.stalledUntil = fleet.now + 2000;
  }, 0.5),
  "a hall is cut 15 s": disturbOnce((fleet) => {
    const others = ["hall-b", "hall-c", PLATFORM];
    for (const other of others) fleet.network.cut("hall-a", other);
    fleet.after(15_000, () => fleet.network.restoreAll());
  }, 0.4),
  "a planner dies": disturbOnce((fleet) => {
    const [host] = fleet.hosts.values();
    const planner = host?.world.view.planners.values().next().value;
    if (planner !== undefined) fleet.kill(planner);
  }, 0.5),
};
