/** What goes wrong during a trial. */
import type { EngineParameters } from "../../src/standins/engine/mod.ts";
import type { Fleet } from "../../test/fake/fleet.ts";
import { PLATFORM } from "../../test/fake/network.ts";

/** One disturbance. */
export type Disturbance = {
  /** Engine parameters that differ. */
  readonly engine: Partial<EngineParameters>;
  /** Share of callers that go away early. */
  readonly cancelShare: number;
  /** Plans what happens between two times. */
  apply(fleet: Fleet, from: number, span: number): void;
};

const NOTHING: Disturbance = {
  engine: {},
  cancelShare: 0,
  apply: () => undefined,
};

function loseEvents(share: number): Disturbance {
  const apply = (fleet: Fleet): void => {
    for (const one of fleet.upstreams.values()) one.dropCacheShare = share;
  };
  return { ...NOTHING, apply };
}

function at(
  run: (fleet: Fleet) => void,
  share: number,
  engine: Partial<EngineParameters> = {},
): Disturbance {
  return {
    ...NOTHING,
    engine,
    apply: (fleet, from, span) => {
      fleet.queue.push(from + span * share, () => run(fleet));
    },
  };
}

/** All disturbances by name. */
export const DISTURBANCES: Readonly<Record<string, Disturbance>> = {
  none: NOTHING,
  "reports 1 s late": { ...NOTHING, engine: { reportLagMs: 1000 } },
  "reports 2 s late": { ...NOTHING, engine: { reportLagMs: 2000 } },
  "cache events 20% lost": loseEvents(0.2),
  "one prefill slow": at((fleet) => {
    fleet.upstream("p-0").engine.slowdown = 2;
  }, 0.2),
  "one prefill dies": at((fleet) => {
    fleet.upstream("p-0").die();
    fleet.after(10_000, () => fleet.upstream("p-0").restart());
  }, 0.45),
  "one decode dies": at((fleet) => {
    fleet.upstream("d-0").die();
    fleet.after(10_000, () => fleet.upstream("d-0").restart());
  }, 0.45),
  "10% of callers leave": { ...NOTHING, cancelShare: 0.1 },
  "a link stalls 2 s": at((fleet) => {
    fleet.upstream("p-0").engine.stalledUntil = fleet.now + 2000;
  }, 0.5),
  "a hall is cut 15 s": at((fleet) => {
    const others = ["hall-b", "hall-c", PLATFORM];
    for (const other of others) fleet.network.cut("hall-a", other);
    fleet.after(15_000, () => fleet.network.healAll());
  }, 0.4),
  "a planner dies": at((fleet) => {
    const [host] = fleet.hosts.values();
    const planner = host?.world.view.planners.values().next().value;
    if (planner !== undefined) fleet.kill(planner);
  }, 0.5),
};
