/**
 * Handles errors that nothing else has caught. A host that serves logs them and
 * goes on: its requests share little state, which is read again from the store
 * and the peers, whereas an exit would end the streams of all callers, and an
 * input that reaches every host would end them all.
 */
import { inspect } from "node:util";
import { ExitCode } from "../programs/common/exit_code.ts";
import type { GatewayContext } from "./context.ts";

/** Maximum length of a logged stack. */
const MAX_STACK_CHARS = 4000;

/** The process whose errors are handled. */
export type FailingProcess = {
  on(
    event: "uncaughtException",
    listener: (error: unknown, origin: string) => void,
  ): unknown;
  exit(code: number): void;
};

/** Handles one error. */
export type ErrorHandler = (error: unknown, origin: string) => void;

/**
 * Installs a handler for uncaught exceptions and unhandled rejections. Until
 * the returned function sets another one, an error ends the process: a host that
 * could not start has nothing to serve.
 */
export function handleUnexpectedErrors(
  target: FailingProcess = process,
): (handler: ErrorHandler) => void {
  let handle: ErrorHandler = (error) => {
    console.error(`otterhill-gateway could not start: ${stackOf(error)}`);
    target.exit(ExitCode.failure);
  };
  target.on("uncaughtException", (error, origin) => handle(error, origin));
  return (handler) => handle = handler;
}

/** Logs and counts an error of a host that serves. */
export function noteUnexpectedError(
  { events, metrics }: Pick<GatewayContext, "events" | "metrics">,
  { error, origin }: { readonly error: unknown; readonly origin: string },
): void {
  metrics.count("unexpected_errors");
  events.note("unexpectedError", { origin, error: stackOf(error) });
}

function stackOf(error: unknown): string {
  const text = error instanceof Error && typeof error.stack === "string"
    ? error.stack
    : inspect(error);
  return text.slice(0, MAX_STACK_CHARS);
}
