/**
 * Maintains each service's share of prefill replicas, or the split that its
 * measured demand calls for. When a change has been
 * desired for some time, the host that plans the service acquires the lease,
 * requests the replica's report and orders the change once. The replica gets no
 * new work while the change may be in progress.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { OrderOutcome, type Store } from "../port.ts";
import type { ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Service } from "../routing/model.ts";
import { withTimeout } from "../state/with_timeout.ts";
import { callEngine } from "../upstreams/engine_call.ts";
import { requestReport } from "../upstreams/engine_report.ts";
import type { StageLoad } from "../planning/view.ts";
import {
  ChangeDebounce,
  desiredChanges,
  SmoothedLoad,
  type StageChange,
} from "./balance.ts";
import type { StageMeter } from "./demand.ts";
import { acquireLease, type Lease } from "./lease.ts";
import { MeasuredBalance, type SplitDecision } from "./measured_balance.ts";
import { splitFields } from "./split_report.ts";

const CHECK_INTERVAL_MS = 500;
/** Interval at a host that plans no model service. */
const IDLE_CHECK_INTERVAL_MS = 1500;
/** How long a change must have been desired before the first traffic. */
const INITIAL_DEBOUNCE_MS = 1500;
/**
 * How long a change must have been desired later; replicas that crashed or were
 * unreachable have usually recovered by then.
 */
const DEBOUNCE_MS = 8000;
const STORE_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 600;
/** How late a replica may carry out an order that it did not answer. */
const MAX_ORDER_DELAY_MS = 13_000;
/** Time for a replica to finish its requests before a change. */
const DRAIN_MS = 5000;
/** Delay after an attempt that ordered nothing, or before the first traffic. */
const FAILED_RETRY_MS = 3000;
/** Maximum age of a listing by which changes are ordered. */
const MAX_LISTING_AGE_MS = 2500;

/** Options of {@link runStageLoop}. */
export type StageLoopOptions = {
  readonly context: GatewayContext;
  readonly store: Store;
  /** Identifies this host as a lease holder. */
  readonly holder: string;
  readonly guardMs: Milliseconds;
  /** Desired share of prefill replicas among a service's engines. */
  readonly prefillShare: number;
  storeAgeMs(now: Milliseconds): Milliseconds;
  /** The host that plans a service, according to this host. */
  plannerOf(service: string): string;
  loadOf(service: string): StageLoad;
  readonly meter: StageMeter;
  /** The latest decision about each service that this host plans. */
  readonly splits: Map<string, SplitDecision>;
  /** Replicas whose change may be in progress; they get no new work. */
  readonly changing: Map<string, ReplicaStage>;
};

/** Runs until the process exits. */
export async function runStageLoop(options: StageLoopOptions): Promise<void> {
  const { context } = options;
  const states = new Map<string, ServiceState>();
  let isPlanner = true;
  for (;;) {
    await sleep(
      context.clock,
      isPlanner ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS,
    );
    isPlanner = false;
    if (context.stop.requestedAt !== undefined) continue;
    if (options.storeAgeMs(context.clock.now()) > MAX_LISTING_AGE_MS) continue;
    for (const service of context.routes.config?.services ?? []) {
      if (!service.engine) continue;
      if (options.plannerOf(service.name) !== context.self.id) {
        options.splits.delete(service.name);
        continue;
      }
      isPlanner = true;
      const state = states.get(service.name) ?? createState();
      states.set(service.name, state);
      await checkService(options, service, state);
    }
  }
}

/** State of the loop for one service. */
type ServiceState = {
  readonly debounce: ChangeDebounce;
  readonly load: SmoothedLoad;
  readonly balance: MeasuredBalance;
};

function createState(): ServiceState {
  return {
    debounce: new ChangeDebounce(),
    load: new SmoothedLoad(),
    balance: new MeasuredBalance(),
  };
}

async function checkService(
  options: StageLoopOptions,
  service: Service,
  state: ServiceState,
): Promise<void> {
  const { context, prefillShare } = options;
  const { clock } = context;
  const { debounce } = state;
  state.load.add(options.loadOf(service.name));
  const { load } = state.load;
  const entries = openEntriesOf(options, service);
  if (load && options.meter.isEnabled()) {
    await checkMeasured(options, { service, entries, balance: state.balance });
    return;
  }
  options.splits.delete(service.name);
  const changes = desiredChanges(entries, prefillShare, load);
  const debounceMs = load ? DEBOUNCE_MS : INITIAL_DEBOUNCE_MS;
  const now = clock.now();
  if (!debounce.isDue(changes.length > 0, debounceMs, now)) return;
  const attempts = await orderChanges(options, service, changes);
  const longestMs = Math.max(
    FAILED_RETRY_MS,
    ...attempts.map((attempt) => attempt.delayMs),
  );
  debounce.suspendUntil(clock.now() + (load ? longestMs : FAILED_RETRY_MS));
}

/** Orders the changes that measured demand and capacities call for. */
async function checkMeasured(
  options: StageLoopOptions,
  { service, entries, balance }: {
    readonly service: Service;
    readonly entries: readonly ReplicaEntry[];
    readonly balance: MeasuredBalance;
  },
): Promise<void> {
  const { clock, events } = options.context;
  const { name } = service;
  const decision = balance.decide({
    replicas: entries,
    measure: (replicas) => options.meter.measure(name, replicas),
    switchMs: service.engine?.switchMs ?? 0,
  }, clock.now());
  if (!decision) {
    options.splits.delete(name);
    return;
  }
  options.splits.set(name, decision);
  if (decision.changes.length === 0) return;
  for (const { replica: { incarnation }, stage } of decision.changes) {
    const change = { service: name, replica: incarnation, stage };
    events.note("splitWanted", { ...change, ...splitFields(decision) });
  }
  const attempts = await orderChanges(options, service, decision.changes);
  const delayMs = Math.max(...attempts.map((attempt) => attempt.delayMs));
  const until = clock.now() + delayMs;
  if (attempts.some((attempt) => attempt.isPending)) {
    balance.suspendUntil(until);
  } else balance.retryAt(until);
}

/** Open replicas; those with a pending change have their new stage. */
function openEntriesOf(
  { context, changing }: StageLoopOptions,
  service: Service,
): ReplicaEntry[] {
  return context.replicas.openReplicasOf(service.name).map(({ entry }) => {
    const stage = changing.get(entry.incarnation);
    return stage === undefined ? entry : { ...entry, stage };
  });
}

/** The result of an attempt to order a change. */
type OrderAttempt = {
  /** The change is in progress or may be. */
  readonly isPending: boolean;
  /** Delay before the next attempt. */
  readonly delayMs: Milliseconds;
};

const FAILED_ATTEMPT: OrderAttempt = {
  isPending: false,
  delayMs: FAILED_RETRY_MS,
};

/** Acquires the lease and orders all changes concurrently. */
async function orderChanges(
  options: StageLoopOptions,
  service: Service,
  changes: readonly StageChange[],
): Promise<OrderAttempt[]> {
  const { context, store, holder, guardMs } = options;
  const { clock, events, suspensions, eras } = context;
  const suspensionCount = suspensions.check();
  const lease = await withTimeout({
    clock,
    timeoutMs: STORE_TIMEOUT_MS,
    work: (signal) =>
      acquireLease(
        { store, clock, holder, guardMs, eras },
        service.name,
        signal,
      ),
    onFault: (reason) => events.note("callFailed", { call: "lease", reason }),
  });
  if (!lease) return [FAILED_ATTEMPT];
  return await Promise.all(
    changes.map((change) =>
      attemptChange(options, { service, change, lease, suspensionCount })
    ),
  );
}

type PlannedOrder = {
  readonly service: Service;
  readonly change: StageChange;
  readonly lease: Lease;
  /** Number of suspensions of this host before it acquired the lease. */
  readonly suspensionCount: number;
};

/** Orders a change; the replica gets no new work while it is pending. */
async function attemptChange(
  options: StageLoopOptions,
  order: PlannedOrder,
): Promise<OrderAttempt> {
  const { context: { clock }, changing } = options;
  const { replica: { incarnation }, stage } = order.change;
  changing.set(incarnation, stage);
  const attempt = await orderChange(options, order);
  if (!attempt.isPending) changing.delete(incarnation);
  else clock.after(attempt.delayMs, () => changing.delete(incarnation));
  return attempt;
}

async function orderChange(
  options: StageLoopOptions,
  { service, change, lease, suspensionCount }: PlannedOrder,
): Promise<OrderAttempt> {
  const { context } = options;
  const { clock } = context;
  const { incarnation } = change.replica;
  const report = await requestReport(context, incarnation, CALL_TIMEOUT_MS);
  if (!report || report.isChanging) return FAILED_ATTEMPT;
  if (report.stage === change.stage) return FAILED_ATTEMPT;
  // It may have restarted, so that the report says nothing about its orders.
  if (!context.replicas.get(incarnation)) return FAILED_ATTEMPT;
  if (clock.now() >= lease.until) return FAILED_ATTEMPT;
  // The store was restored from a copy that may lack the lease.
  if (context.eras.era !== lease.era) return FAILED_ATTEMPT;
  // The lease may have expired while this host was suspended.
  if (context.suspensions.check() !== suspensionCount) return FAILED_ATTEMPT;
  const outcome = await sendOrder(options, change, {
    lease,
    ifOrders: report.orderCount,
  });
  context.events.note("stageOrdered", {
    service: service.name,
    replica: incarnation,
    stage: change.stage,
    fence: lease.fence,
    outcome: outcome ?? "unknown",
  });
  const switchMs = service.engine?.switchMs ?? 0;
  if (outcome === OrderOutcome.taken) {
    return { isPending: true, delayMs: switchMs + DRAIN_MS };
  }
  if (outcome !== undefined) return FAILED_ATTEMPT;
  return { isPending: true, delayMs: MAX_ORDER_DELAY_MS + switchMs };
}

async function sendOrder(
  options: StageLoopOptions,
  change: StageChange,
  condition: { readonly lease: Lease; readonly ifOrders: number },
): Promise<OrderOutcome | undefined> {
  const { context } = options;
  const { dialect, metrics } = context;
  const call = dialect.orderStage({
    replica: change.replica.id,
    stage: change.stage,
    holder: condition.lease.holder,
    fence: condition.lease.fence,
    ifOrders: condition.ifOrders,
  });
  metrics.count("stage_orders");
  const timeoutMs = CALL_TIMEOUT_MS;
  // Replicas tell the holders of leases apart by their addresses.
  const answer = await callEngine(context, change.replica, {
    call,
    timeoutMs,
    isDirectOnly: true,
  });
  return answer && dialect.readOrder(answer.status);
}
