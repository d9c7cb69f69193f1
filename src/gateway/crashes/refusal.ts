/** How a quarantined request is refused. */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import { type Quarantine, SuspectKind } from "./model.ts";

/** The error for the caller, who may retry when the quarantine ends. */
export function refusalOf(
  { kind, until }: Quarantine,
  now: Milliseconds,
): [GatewayError, { readonly retryAfterSeconds: number }] {
  const error = kind === SuspectKind.part
    ? GatewayError.promptCrashesReplicas
    : GatewayError.crashesReplicas;
  const retryAfterSeconds = Math.max(1, Math.ceil((until - now) / 1000));
  return [error, { retryAfterSeconds }];
}
