/** Restricts a request to the replicas of one software version. */
import type { ReplicaEntry } from "./model.ts";

/**
 * The software version that a stream's replicas must have. What two versions
 * write of a stream doesn't fit together, and replicas don't check it. An absent
 * version is a value, too: the stream was begun by a replica without one.
 */
export type RequiredVersion = {
  readonly softwareVersion?: string | undefined;
};

/** Whether the replica has the required version; undefined: any will do. */
export function hasRequiredVersion(
  { softwareVersion }: Pick<ReplicaEntry, "softwareVersion">,
  required: RequiredVersion | undefined,
): boolean {
  return !required || softwareVersion === required.softwareVersion;
}
