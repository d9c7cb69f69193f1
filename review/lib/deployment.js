/** The configuration and the replicas of a small deployment. */

/** A route of the small deployment osf-planovanie. */
export function route(fields) {
  return { Host: "osf.example", Priority: 1, ...fields };
}

/** A route to the model service. */
export function streamRoute(fields) {
  return route({
    Kind: "streaming",
    TimeoutMs: 14_000,
    TargetLatencyMs: 900,
    GapTargetMs: 300,
    SessionAffinity: true,
    Service: "model",
    ...fields,
  });
}

/** The operator's configuration. */
export function configOf(routes) {
  return {
    Version: 7,
    Routes: routes,
    Services: [
      {
        Name: "model",
        HealthPath: "/health",
        ConnectionLimit: 370,
        InferenceEngine: {
          Slots: 64,
          KvCacheTokens: 34_221,
          KvTokenBytes: 35_136,
          LinkMbps: 1_100_000,
          Stride: 1,
          HandleRetentionS: 0.5,
          StageSwitchS: 6,
          PinDurationMs: 4000,
          HoldMs: 2000,
          Models: [{ Name: "m" }],
        },
      },
      { Name: "plain", HealthPath: "/health", ConnectionLimit: 110 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}

const HEARTBEAT_MS = 1200;

/** Starts replicas, which then keep themselves in the store. */
export async function startReplicas(store, replicas) {
  const listed = new Set();
  const beats = new Map();
  const beat = (replica) => {
    const sequence = (beats.get(replica) ?? 0) + 1;
    beats.set(replica, sequence);
    store.put("servers", replica.id, replica.entry(sequence));
  };
  const add = async (replica) => {
    await replica.start();
    listed.add(replica);
    beat(replica);
  };
  for (const replica of replicas) await add(replica);
  const timer = setInterval(() => listed.forEach(beat), HEARTBEAT_MS);
  return {
    add,
    /** Writes an entry at once. */
    beat,
    /** Removes an entry; its replica goes on serving. */
    remove(replica) {
      listed.delete(replica);
      store.remove("servers", replica.id);
    },
    stop() {
      clearInterval(timer);
      for (const replica of replicas) replica.stop();
    },
  };
}
