/** Work that an upstream does one after the other, as its planner sees it. */
import type { RequestId } from "../request_ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Line } from "../tables/plans.ts";

/** A line without work. */
export function emptyLine(): Line {
  return { tokensOf: new Map(), tokens: 0, headSince: 0 };
}

/** Adds a request's work at the end. */
export function joinLine(
  line: Line,
  request: RequestId,
  tokens: number,
  now: Milliseconds,
): void {
  if (line.tokensOf.size === 0) line.headSince = now;
  line.tokensOf.set(request, tokens);
  line.tokens += tokens;
}

/** Takes a request's work out. */
export function leaveLine(
  line: Line,
  request: RequestId,
  now: Milliseconds,
): void {
  const head = line.tokensOf.keys().next().value;
  if (head === request) line.headSince = now;
  line.tokens -= line.tokensOf.get(request) ?? 0;
  line.tokensOf.delete(request);
}

/** Tokens left, going by the time that the oldest has had. */
export function backlog(
  line: Line,
  tokensPerMs: number,
  now: Milliseconds,
): number {
  const head = line.tokensOf.values().next().value;
  if (head === undefined) return 0;
  const done = (now - line.headSince) * tokensPerMs;
  return line.tokens - Math.min(head, done);
}
