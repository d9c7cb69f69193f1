/**
 * Keeps each service's share of prefill replicas. The host that plans a
 * service acts: when a change is wanted for a while, it takes the lease, asks
 * the replica how it is, and orders the change once. It plans nothing for the
 * replica until the listing shows the change.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { OrderOutcome, type Store } from "../port.ts";
import type { ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Service } from "../routing/model.ts";
import { within } from "../state/within.ts";
import { callEngine } from "../upstreams/engine_call.ts";
import type { StageLoad } from "../planning/view.ts";
import {
  ChangePatience,
  SmoothLoad,
  type StageChange,
  wantedChanges,
} from "./balance.ts";
import { type Lease, takeLease } from "./lease.ts";

const LOOK_MS = 500;
/** A host that plans no model service looks whether it does so often. */
const IDLE_LOOK_MS = 1500;
/** A change must have been wanted for so long, before the first traffic. */
const FIRST_PATIENCE_MS = 1500;
/** And later: replicas that crash or are cut off are mostly back by then. */
const PATIENCE_MS = 8000;
const STORE_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 600;
/** An order without an answer may be carried out so much later. */
const LATE_ORDER_MS = 13_000;
/** A replica under a change finishes what it runs, at most about so long. */
const DRAIN_MS = 5000;
/** Pause after a try that ordered nothing, and before the first traffic. */
const FAILED_REST_MS = 3000;
/** A listing older than this decides nothing. */
const LISTING_AGE_MS = 2500;

/** What the loop needs. */
export type StageLoopSource = {
  readonly context: GatewayContext;
  readonly store: Store;
  /** Names this run of this host. */
  readonly holder: string;
  readonly guardMs: Milliseconds;
  /** Share of a service's engines that read prompts. */
  readonly prefillShare: number;
  storeAgeMs(now: Milliseconds): Milliseconds;
  /** The host that plans a service, as this host sees it. */
  plannerOf(service: string): string;
  /** How busy a service's stages are. */
  loadOf(service: string): StageLoad;
  /** Replicas under a change, kept from new work. */
  readonly changing: Map<string, ReplicaStage>;
};

/** Runs for as long as the process lives. */
export async function runStageLoop(source: StageLoopSource): Promise<void> {
  const { context } = source;
  const states = new Map<string, ServiceState>();
  let plans = true;
  for (;;) {
    await sleep(context.clock, plans ? LOOK_MS : IDLE_LOOK_MS);
    plans = false;
    if (context.stop.askedAt !== undefined) continue;
    if (source.storeAgeMs(context.clock.now()) > LISTING_AGE_MS) continue;
    for (const service of context.routes.config?.services ?? []) {
      if (!service.engine) continue;
      if (source.plannerOf(service.name) !== context.self.id) continue;
      plans = true;
      const state = states.get(service.name) ??
        { patience: new ChangePatience(), load: new SmoothLoad() };
      states.set(service.name, state);
      await lookAt(source, service, state);
    }
  }
}

/** What is remembered of one service. */
type ServiceState = {
  readonly patience: ChangePatience;
  readonly load: SmoothLoad;
};

async function lookAt(
  source: StageLoopSource,
  service: Service,
  state: ServiceState,
): Promise<void> {
  const { context, prefillShare } = source;
  const { clock } = context;
  const { patience } = state;
  state.load.add(source.loadOf(service.name));
  const { load } = state.load;
  const entries = entriesOf(source, service);
  const changes = wantedChanges(entries, prefillShare, load);
  const patienceMs = load ? PATIENCE_MS : FIRST_PATIENCE_MS;
  const now = clock.now();
  if (!patience.ripe(changes.length > 0, patienceMs, now)) return;
  const tries = await act(source, service, changes);
  const longest = Math.max(FAILED_REST_MS, ...tries.map((one) => one.restMs));
  patience.rest(clock.now() + (load ? longest : FAILED_REST_MS));
}

/** Replicas that take work; those under a change count as changed. */
function entriesOf(
  { context, changing }: StageLoopSource,
  service: Service,
): ReplicaEntry[] {
  return context.replicas.openOf(service.name).map(({ entry }) => {
    const stage = changing.get(entry.incarnation);
    return stage === undefined ? entry : { ...entry, stage };
  });
}

/** How a try to order a change went. */
type Try = {
  /** The change is under way, or may be. */
  readonly taken: boolean;
  /** Time to wait before the next. */
  readonly restMs: Milliseconds;
};

const FAILED_TRY: Try = { taken: false, restMs: FAILED_REST_MS };

/** Takes the lease and tries to order the changes, all at once. */
async function act(
  source: StageLoopSource,
  service: Service,
  changes: readonly StageChange[],
): Promise<Try[]> {
  const { context, store, holder, guardMs } = source;
  const { clock, events, suspensions, eras } = context;
  const suspended = suspensions.check();
  const lease = await within({
    clock,
    timeoutMs: STORE_TIMEOUT_MS,
    work: (signal) =>
      takeLease({ store, clock, holder, guardMs, eras }, service.name, signal),
    onFault: (reason) => events.note("callFailed", { call: "lease", reason }),
  });
  if (!lease) return [FAILED_TRY];
  return await Promise.all(
    changes.map((change) =>
      tryChange(source, { service, change, lease, suspended })
    ),
  );
}

type Wanted = {
  readonly service: Service;
  readonly change: StageChange;
  readonly lease: Lease;
  /** Suspensions of this host before it took the lease. */
  readonly suspended: number;
};

/** The replica takes no new work while its change may be under way. */
async function tryChange(
  source: StageLoopSource,
  wanted: Wanted,
): Promise<Try> {
  const { context: { clock }, changing } = source;
  const { replica: { incarnation }, stage } = wanted.change;
  changing.set(incarnation, stage);
  const tried = await orderChange(source, wanted);
  if (!tried.taken) changing.delete(incarnation);
  else clock.after(tried.restMs, () => changing.delete(incarnation));
  return tried;
}

async function orderChange(
  source: StageLoopSource,
  { service, change, lease, suspended }: Wanted,
): Promise<Try> {
  const { context } = source;
  const { dialect, clock } = context;
  const place = change.replica;
  const replica = context.replicas.get(place.incarnation);
  if (!replica || context.gate.obstacle(replica)) return FAILED_TRY;
  const told = await callEngine(context, place, {
    call: dialect.report,
    timeoutMs: CALL_TIMEOUT_MS,
  });
  const report = told && dialect.readReport(told.body);
  if (!report || report.changing) return FAILED_TRY;
  if (report.stage === change.stage) return FAILED_TRY;
  if (clock.now() >= lease.until) return FAILED_TRY;
  // The store came back from a copy that may lack it: another may take it, too.
  if (context.eras.era !== lease.era) return FAILED_TRY;
  // By the time that passed while this host slept the lease may have ended.
  if (context.suspensions.check() !== suspended) return FAILED_TRY;
  const outcome = await order(source, change, {
    lease,
    ifOrders: report.orders,
  });
  context.events.note("stageOrdered", {
    service: service.name,
    replica: place.incarnation,
    stage: change.stage,
    fence: lease.fence,
    outcome: outcome ?? "unknown",
  });
  const switchMs = service.engine?.switchMs ?? 0;
  if (outcome === OrderOutcome.taken) {
    return { taken: true, restMs: switchMs + DRAIN_MS };
  }
  if (outcome !== undefined) return FAILED_TRY;
  return { taken: true, restMs: LATE_ORDER_MS + switchMs };
}

async function order(
  source: StageLoopSource,
  change: StageChange,
  right: { readonly lease: Lease; readonly ifOrders: number },
): Promise<OrderOutcome | undefined> {
  const { context } = source;
  const { dialect, metrics } = context;
  const call = dialect.orderStage({
    replica: change.replica.id,
    stage: change.stage,
    holder: right.lease.holder,
    fence: right.lease.fence,
    ifOrders: right.ifOrders,
  });
  metrics.count("stage_orders");
  const timeoutMs = CALL_TIMEOUT_MS;
  const answer = await callEngine(context, change.replica, { call, timeoutMs });
  return answer && dialect.readOrder(answer.status);
}
