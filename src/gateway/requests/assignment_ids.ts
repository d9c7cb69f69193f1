/** Generates ids of assignments. */
import type { GatewayContext } from "../context.ts";

let assignmentCount = 0;

/** Returns an id that is unique across hosts and across runs of this host. */
export function nextAssignmentId(context: GatewayContext): string {
  assignmentCount += 1;
  return `${context.self.id}/${context.self.run}/${assignmentCount}`;
}
