/** Scans the events of a response. */
import type { Answer } from "../upstreams/call.ts";
import { EventScanner } from "./event_scanner.ts";

/**
 * Scans each part of the body when it is received. Called before the body is
 * received; a listener that is added after the call finds its part scanned.
 */
export function scanEvents({ message }: Answer): EventScanner {
  const scanner = new EventScanner();
  message.on("data", (bytes: Buffer) => scanner.push(bytes));
  return scanner;
}
