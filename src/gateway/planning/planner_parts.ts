/** Creates the parts of a planner, which share its view and its ledger. */
import type { Milliseconds } from "../../util/units.ts";
import { BookedReturns } from "./booked_returns.ts";
import type { Bookings } from "./bookings.ts";
import type { CustomerShares } from "./customer_shares.ts";
import { DemandMeter } from "./demand_meter.ts";
import { EngineChoice } from "./engine_choice.ts";
import { EngineDecision } from "./engine_decision.ts";
import { ExportLosses } from "./export_losses.ts";
import { FairShares } from "./fair_shares.ts";
import { Forecasts } from "./forecasts.ts";
import { Ledger } from "./ledger.ts";
import { MeasuredRates } from "./measured_rates.ts";
import { PlainAdvisor } from "./plain_advice.ts";
import { PlainAssigner } from "./plain_assigner.ts";
import { PlainHold } from "./plain_hold.ts";
import { Progress } from "./progress.ts";
import { PromptLocations } from "./prompt_locations.ts";
import { RateHandover } from "./rate_handover.ts";
import { EQUAL_RATES, type ReplicaRates } from "./replica_rates.ts";
import { RequestPacer } from "./request_pacer.ts";
import type { PlannerView } from "./view.ts";

/** How long a replica that had no memory is given no requests. */
const FULL_BACKOFF_MS = 60;

/** The state and the decisions of one planner. */
export type PlannerParts = {
  readonly ledger: Ledger;
  readonly losses: ExportLosses;
  readonly promptLocations: PromptLocations;
  readonly forecasts: Forecasts;
  readonly pacer: RequestPacer;
  readonly engineDecision: EngineDecision;
  readonly plainAssigner: PlainAssigner;
  readonly plainAdvisor: PlainAdvisor;
  readonly progress: Progress;
  readonly demand: DemandMeter;
  readonly bookings: Bookings;
  readonly measuredRates: MeasuredRates;
  readonly shares: CustomerShares;
  readonly plainHold: PlainHold;
  readonly rateHandover: RateHandover;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
};

/** Creates the parts of a planner. */
export function createPlannerParts(view: PlannerView): PlannerParts {
  const ledger = new Ledger();
  const losses = new ExportLosses();
  const promptLocations = new PromptLocations();
  const pacer = new RequestPacer((incarnation) => view.limitOf(incarnation));
  const fullUntil = new Map<string, Milliseconds>();
  const isFull = (incarnation: string, now: Milliseconds) =>
    (fullUntil.get(incarnation) ?? 0) > now ||
    !pacer.hasRoom(incarnation, now);
  const measuredRates = new MeasuredRates({ view, ledger });
  const rates = () =>
    view.scheduling.replicaRates ? measuredRates : EQUAL_RATES;
  const bookings = createBookings(view);
  const forecasts = new Forecasts({ view, ledger, rates, bookings });
  const shared = {
    view,
    ledger,
    pacer,
    rates,
    isFull,
    promptLocations,
    bookings,
  };
  const shares = new FairShares({ view, ledger });
  const choice = new EngineChoice(shared);
  const demand = new DemandMeter(rates);
  const plainAdvisor = new PlainAdvisor(view, ledger);
  return {
    ledger,
    losses,
    promptLocations,
    forecasts,
    pacer,
    engineDecision: new EngineDecision({ choice, forecasts, pacer, view }),
    plainAssigner: new PlainAssigner(shared),
    plainAdvisor,
    progress: new Progress({
      ...shared,
      losses,
      forecasts,
      plainAdvisor,
      noteFull: (incarnation, now) =>
        fullUntil.set(incarnation, now + FULL_BACKOFF_MS),
    }),
    bookings,
    measuredRates,
    shares,
    plainHold: new PlainHold({ view, ledger, shares }),
    demand,
    rateHandover: new RateHandover({
      view,
      ledger,
      state: measuredRates.state,
      prefillRates: demand.prefillRates,
      lengths: forecasts.lengths,
    }),
    rates,
  };
}

function createBookings(view: PlannerView): Bookings {
  return new BookedReturns({
    isEnabled: () => view.scheduling.bookedReturns,
    kindOf: (service) => view.memoryOf(service) === 0 ? "plain" : "pool",
    metrics: view.metrics,
    events: view.events,
  });
}
