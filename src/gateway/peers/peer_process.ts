/** Names the process of a peer, which may be started again at its address. */

/** Header with the run of the process that responds to CONNECT. */
export const RUN_HEADER = "otterhill-run";

/** The process of a peer. */
export type PeerProcess = {
  readonly address: string;
  /** Identifies the run; undefined if the peer has named none. */
  readonly run: string | undefined;
};
