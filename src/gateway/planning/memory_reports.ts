/**
 * Requests reports of the memory that decode replicas use, for the services that
 * this host plans, while much of their memory is reserved.
 */
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { requestReport } from "../upstreams/engine_report.ts";

const ROUND_INTERVAL_MS = 1000;
const CALL_TIMEOUT_MS = 300;
/** A replica with less of its memory reserved is not full. */
const MIN_RESERVED_SHARE = 0.6;
/** The fullest replicas stand for the others. */
const MAX_REPLICAS = 8;

/** What a planner has reserved at a decode replica. */
export type Reservations = {
  readonly incarnation: string;
  readonly tokens: number;
};

/** Options of {@link runMemoryReports}. */
export type MemoryReportsOptions = {
  readonly context: GatewayContext;
  /** Whether reports are used. */
  isEnabled(): boolean;
  /** Services with a model engine that this host plans. */
  services(): readonly string[];
  /** Memory of one decode replica of the service, in tokens. */
  capacityOf(service: string): number;
  reservationsOf(service: string): readonly Reservations[];
  /** Called before each round with the services of that round. */
  onRound(services: readonly string[]): void;
  /** Called in each round with the shares of memory that are in use. */
  onReports(service: string, usedShares: readonly number[]): void;
};

/** Runs until the process exits. */
export async function runMemoryReports(
  options: MemoryReportsOptions,
): Promise<void> {
  const { context } = options;
  for (;;) {
    await sleep(context.clock, ROUND_INTERVAL_MS);
    if (context.stop.requestedAt !== undefined) continue;
    const services = options.isEnabled() ? options.services() : [];
    options.onRound(services);
    for (const service of services) {
      options.onReports(service, await requestShares(options, service));
    }
  }
}

async function requestShares(
  { context, capacityOf, reservationsOf }: MemoryReportsOptions,
  service: string,
): Promise<number[]> {
  const memory = capacityOf(service);
  const fullest = reservationsOf(service)
    .filter(({ tokens }) => tokens >= memory * MIN_RESERVED_SHARE)
    .sort((a, b) => b.tokens - a.tokens)
    .slice(0, MAX_REPLICAS);
  const reports = await Promise.all(
    fullest.map(({ incarnation }) =>
      requestReport(context, incarnation, CALL_TIMEOUT_MS)
    ),
  );
  return reports.flatMap((report) =>
    report?.usedTokens === undefined ? [] : [report.usedTokens / memory]
  );
}
