/** The faults of a soak run. */

/** Kinds of faults; the values appear in the soak's output. */
export const FaultKind = {
  kill: "kill",
  stop: "stop",
  pause: "pause",
  reload: "reload",
  storeDown: "store down",
  storeSilent: "store silent",
  storeSlow: "store slow",
  storeLosesResponses: "store loses answers",
  storeLosesHistory: "store forgets history",
  storeEntriesExpire: "store down, entries lapse",
  storePathBlocked: "path to the store silent",
  storePathBlockedOneWay: "path to the store silent one way",
  storePathReset: "path to the store reset",
  peerPathBlocked: "path to a peer silent",
  peerPathSlow: "path to a peer slow",
  peerPathReset: "path to a peer reset",
  replicaPathBlockedOneWay: "path to a replica silent one way",
  replicaPathSlow: "path to a replica slow",
  replicaPathReset: "path to a replica reset",
  replicaCrash: "replica crash",
  replicaDrain: "replica leaves",
  config: "configuration",
  replicaRestart: "replica restarts under its id",
  foreignRows: "another writer's rows",
  storeRestored: "store comes back from an older copy",
  storeRestoredAfterOutage: "store down, comes back from an older copy",
  replicaLimit: "replica limits its requests",
  serviceLimit: "all replicas of a stage limit their requests",
  hallLimit: "all replicas of a hall limit their requests",
  replicaDrainByResponse: "replica says in answers alone that it leaves",
  replicaBackoff: "replica asks for a pause",
  serviceBackoff: "all replicas of a stage ask for a pause",
  hallBackoff: "all replicas of a hall ask for a pause",
  replicaSlow: "replica turns slow",
  plannerKill: "planner of a service is killed",
  replicaSilent: "replica silent for a second",
  hostPathsHang: "paths of a host to all replicas silent",
  hostPathsReset: "paths of a host to all replicas reset",
  hostPathsRefuse: "paths of a host to all replicas refuse new connections",
  hallPathsHang: "paths of a hall's hosts to all replicas silent",
  hallPathsReset: "paths of a hall's hosts to all replicas reset",
  replicaCutsResponses: "replica cuts its answers",
  serviceCutsResponses: "all replicas of a stage cut their answers",
  release: "a release replaces all replicas of a service and is taken back",
  machineSleep: "machine sleeps",
  hotHost: "most new connections go to one host",
  replicaChangesVersion: "replica restarts under its id at another version",
  oddRow: "another writer's row that no replica would write",
  hostCutOff: "host cut off from the other hosts",
  hostIsolated: "host cut off from the other hosts and the store",
  reloadsDuringStarts: "host started in series, reloaded during each start",
  stopDuringStart: "host stopped during its start",
  startBeforeEnd: "host started while its predecessor drains",
  portTaken: "port of a host is taken while it starts",
  settingsTornAtStart: "settings of a host are torn while it starts",
  settingsTorn: "settings of a host are torn while it runs",
  stopUnderLoad: "busy host stopped",
  endlessBytes: "replica sends bytes without end",
} as const;
/** One of the values of {@link FaultKind}. */
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

/** One fault of a run. */
export type Fault = {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects the target: the index modulo the number of candidates. */
  readonly target: number;
};

/** Ends a fault. */
export type Undo = () => void | Promise<void>;
