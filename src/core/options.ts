/** The core's tuning: every number has its unit, its default and its reason. */
import type { Milliseconds } from "../util/units.ts";

/** Mechanisms that a test can turn off to show that their proof then fails. */
export const Mechanism = {
  registry: "registry",
  claims: "claims",
  release: "release",
  sweep: "sweep",
  drain: "drain",
  matchAttempts: "match-attempts",
  proveNotRun: "prove-not-run",
  keepVersions: "keep-versions",
  leases: "leases",
} as const;
/** One of the values of {@link Mechanism}. */
export type Mechanism = typeof Mechanism[keyof typeof Mechanism];

/** Tuning of one entry host. */
export type Options = {
  /** Time between two gossip rounds: a tenth of the detection time. */
  readonly gossipMs: Milliseconds;
  /** Peers told in each round; each tells back (docs/CAPACITY.md, gossip). */
  readonly gossipFanout: number;
  /** A host whose counter stands still this long is not live. */
  readonly hostTimeoutMs: Milliseconds;
  /** A peer that failed to answer is passed over this long. */
  readonly suspectMs: Milliseconds;
  /** Time between two reads of the platform's host list. */
  readonly listPollMs: Milliseconds;
  /** Time between two reads of new settings rows. */
  readonly settingsPollMs: Milliseconds;
  /** Time between two load reports read by an upstream's planner. */
  readonly loadPollMs: Milliseconds;
  /** Time between two reads of an upstream's cache events. */
  readonly cachePollMs: Milliseconds;
  /** A load report older than this rules its upstream out. */
  readonly reportTimeoutMs: Milliseconds;
  /** A planner that has not answered an ask by then is passed over. */
  readonly askTimeoutMs: Milliseconds;
  /** Upstreams of a service that one planner places requests on. */
  readonly poolUpstreams: number;
  /** Asks that may wait at one planner for one service. */
  readonly askQueueLimit: number;
  /** Transfer of one token's KV cache on an idle link: 160 KB at 12.5 GB/s. */
  readonly transferMsPerToken: Milliseconds;
  /** Time between two renewals of a grant by its owner. */
  readonly keepMs: Milliseconds;
  /** A grant not renewed for this long is dropped. */
  readonly grantTimeoutMs: Milliseconds;
  /** Time between two sweeps of what an upstream holds. */
  readonly sweepMs: Milliseconds;
  /** An owner silent for this long has lost what it held. */
  readonly ownerGraceMs: Milliseconds;
  /** First time between two tries of a cancel; doubles up to the next line. */
  readonly cancelRetryMs: Milliseconds;
  /** Longest time between two tries of a cancel. */
  readonly cancelRetryMaxMs: Milliseconds;
  /** A platform call without an answer by then is taken as lost. */
  readonly platformTimeoutMs: Milliseconds;
  /** A claim must be settled by then, or the request is refused as not run. */
  readonly claimTimeoutMs: Milliseconds;
  /** Key registrations must be settled by then. */
  readonly keyTimeoutMs: Milliseconds;
  /** How long an answered key is remembered. */
  readonly keyKeepMs: Milliseconds;
  /** A prefill that takes this much longer than predicted is given up. */
  readonly prefillSlackMs: Milliseconds;
  /** A first token this much later than predicted means a stalled transfer. */
  readonly transferSlackMs: Milliseconds;
  /** A stream silent for this long is taken as broken. */
  readonly progressTimeoutMs: Milliseconds;
  /** Resumes of one broken stream at the same upstream. */
  readonly resumeLimit: number;
  /** Rounds of places per request, the first included. */
  readonly roundLimit: number;
  /** Retries allowed per first attempt, as a share, over the last seconds. */
  readonly retryShare: number;
  /** For comparison: every host plans by itself, with what it knows. */
  readonly planAlone: boolean;
  /** Tests only: mechanisms turned off. */
  readonly disabled: ReadonlySet<Mechanism>;
};

/** The defaults; docs/SETTINGS.md gives the reasons at more length. */
export const DEFAULT_OPTIONS: Options = {
  gossipMs: 1000,
  gossipFanout: 1,
  hostTimeoutMs: 8000,
  suspectMs: 2000,
  listPollMs: 2000,
  settingsPollMs: 3000,
  loadPollMs: 500,
  cachePollMs: 500,
  reportTimeoutMs: 3000,
  askTimeoutMs: 200,
  poolUpstreams: 16,
  askQueueLimit: 256,
  transferMsPerToken: 0.0128,
  keepMs: 5000,
  grantTimeoutMs: 15_000,
  sweepMs: 3000,
  ownerGraceMs: 12_000,
  cancelRetryMs: 200,
  cancelRetryMaxMs: 3000,
  platformTimeoutMs: 1000,
  claimTimeoutMs: 3000,
  keyTimeoutMs: 1000,
  keyKeepMs: 600_000,
  prefillSlackMs: 4000,
  transferSlackMs: 1500,
  progressTimeoutMs: 3000,
  resumeLimit: 2,
  roundLimit: 4,
  retryShare: 0.1,
  planAlone: false,
  disabled: new Set(),
};
