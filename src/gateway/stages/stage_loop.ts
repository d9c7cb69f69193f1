/**
 * Keeps each service's share of prefill replicas. Any host may act: one that
 * sees a change wanted for a while takes the lease, asks the replica how it
 * is, and orders the change once.
 */
import type { Milliseconds } from "../../core/ids.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { OrderOutcome, type Store } from "../port.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Service } from "../routing/model.ts";
import { within } from "../state/synchronizer.ts";
import { ChangePatience, type StageChange, wantedChange } from "./balance.ts";
import { type Lease, takeLease } from "./lease.ts";

const LOOK_MS = 500;
/** A change must have been wanted for so long, plus a random part. */
const PATIENCE_MS = 1500;
const PATIENCE_SPREAD_MS = 1500;
const STORE_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 600;
/** An order without an answer may be carried out so much later. */
const LATE_ORDER_MS = 13_000;
/** Pause after a try that ordered nothing. */
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
};

/** Runs for as long as the process lives. */
export async function runStageLoop(source: StageLoopSource): Promise<void> {
  const { context } = source;
  const patience = new Map<string, ChangePatience>();
  for (;;) {
    await sleep(context.clock, LOOK_MS);
    if (context.stop.askedAt !== undefined) continue;
    if (source.storeAgeMs(context.clock.now()) > LISTING_AGE_MS) continue;
    for (const service of context.routes.config?.services ?? []) {
      if (!service.engine) continue;
      const own = patience.get(service.name) ?? new ChangePatience(
        PATIENCE_MS + context.random() * PATIENCE_SPREAD_MS,
      );
      patience.set(service.name, own);
      await lookAt(source, service, own);
    }
  }
}

async function lookAt(
  source: StageLoopSource,
  service: Service,
  patience: ChangePatience,
): Promise<void> {
  const { context, prefillShare } = source;
  const { clock } = context;
  const change = wantedChange(entriesOf(context, service), prefillShare);
  if (!patience.ripe(change !== undefined, clock.now()) || !change) return;
  const rest = await act(source, service, change);
  patience.rest(clock.now() + rest);
}

function entriesOf(context: GatewayContext, service: Service): ReplicaEntry[] {
  return context.replicas.openOf(service.name).map((one) => one.entry);
}

/** Tries to order the change; gives the time to wait before the next. */
async function act(
  source: StageLoopSource,
  service: Service,
  change: StageChange,
): Promise<Milliseconds> {
  const { context, store, holder, guardMs } = source;
  const { clock } = context;
  const lease = await within(clock, STORE_TIMEOUT_MS, (signal) =>
    takeLease({ store, clock, holder, guardMs }, service.name, signal));
  if (!lease) return FAILED_REST_MS + context.random() * FAILED_REST_MS;
  const { dialect, pool } = context;
  const place = change.replica;
  const told = await pool.small(place, dialect.report, CALL_TIMEOUT_MS);
  const report = told && dialect.readReport(told.body);
  if (!report || report.changing) return FAILED_REST_MS;
  if (report.stage === change.stage) return FAILED_REST_MS;
  if (clock.now() >= lease.until) return FAILED_REST_MS;
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
  if (outcome === OrderOutcome.taken) {
    return LATE_ORDER_MS + (service.engine?.switchMs ?? 0);
  }
  return outcome === undefined ? LATE_ORDER_MS : FAILED_REST_MS;
}

async function order(
  source: StageLoopSource,
  change: StageChange,
  right: { readonly lease: Lease; readonly ifOrders: number },
): Promise<OrderOutcome | undefined> {
  const { dialect, pool, metrics } = source.context;
  const { incarnation } = change.replica;
  const call = dialect.orderStage({
    incarnation,
    stage: change.stage,
    holder: right.lease.holder,
    fence: right.lease.fence,
    ifOrders: right.ifOrders,
  });
  metrics.count("stage_orders");
  const answer = await pool.small(change.replica, call, CALL_TIMEOUT_MS);
  return answer && dialect.readOrder(answer.status);
}
