/**
 * Tells whether a replica still runs as its entry lists it. Calls carry only the
 * id of a replica, so that one that has started again under its id and at its
 * address accepts them, whatever its software version is now.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { callEngine } from "./engine_call.ts";

/** Timeout of one report. A caller waits for it when its stream is taken up. */
const REPORT_TIMEOUT_MS: Milliseconds = 400;
/** Pause after a response without a report. */
const RETRY_PAUSE_MS: Milliseconds = 50;

const FIRST_REJECTION_STATUS = 429;
const NOT_IMPLEMENTED_STATUS = 501;

/** What a replica has told of its start. */
export const StartFinding = {
  /** It runs as it is listed. */
  listed: "listed",
  /** It has started again. */
  other: "other",
  /** Its entry, or what it reports, names no start. */
  untold: "untold",
  /** It hasn't reported in time. */
  silent: "silent",
} as const;
/** One of the values of {@link StartFinding}. */
export type StartFinding = typeof StartFinding[keyof typeof StartFinding];

/** What {@link findStart} depends on. */
export type StartCheckContext = Pick<
  GatewayContext,
  "pool" | "dialect" | "clock" | "gate" | "events" | "metrics"
>;

/**
 * Asks a replica of a model engine for its start, again while it is silent or
 * rejects the call. If it runs as it is listed, so does the process that sent
 * any response before: an address belongs to one process at a time.
 */
export async function findStart(
  context: StartCheckContext,
  entry: ReplicaEntry,
  timeoutMs: Milliseconds,
): Promise<StartFinding> {
  if (entry.stage === undefined || entry.born === undefined) return "untold";
  const { clock } = context;
  const deadline = clock.now() + timeoutMs;
  for (;;) {
    const finding = await askOnce(context, entry, deadline - clock.now());
    if (finding !== "silent") return finding;
    if (clock.now() + RETRY_PAUSE_MS >= deadline) return "silent";
    await sleep(clock, RETRY_PAUSE_MS);
  }
}

async function askOnce(
  context: StartCheckContext,
  entry: ReplicaEntry,
  leftMs: Milliseconds,
): Promise<StartFinding> {
  const { dialect } = context;
  const answer = await callEngine(context, entry, {
    call: dialect.report,
    timeoutMs: Math.min(REPORT_TIMEOUT_MS, leftMs),
  });
  if (!answer || isRejection(answer.status)) return "silent";
  const born = dialect.readReport(answer.body)?.born;
  if (born === undefined) return "untold";
  return born === entry.born ? "listed" : "other";
}

/** Whether a later call may be answered. */
function isRejection(status: number): boolean {
  return status >= FIRST_REJECTION_STATUS && status !== NOT_IMPLEMENTED_STATUS;
}
