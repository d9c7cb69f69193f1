/** What crash detection asks of others, for tests that need no responses. */
import type { EndConfirmationOptions } from "../../../src/gateway/crashes/end_confirmation.ts";

/** Replicas report no start and no id, peers don't run, and no host stalls. */
export const UNASKED: Pick<
  EndConfirmationOptions,
  "findStart" | "readId" | "stalls" | "askPeer"
> = {
  findStart: () => Promise.resolve("notReported"),
  readId: () => Promise.resolve(undefined),
  stalls: { hasStalledSince: () => false },
  askPeer: () => Promise.resolve(undefined),
};
