/**
 * A decode replica turns a request away because the handle of its prompt is
 * gone, and a faulty one sends that answer twice. The gateway sends the request
 * again over the connection on which the second copy arrives.
 */
import { newAttemptId, send } from "../lib/client.js";
import { streamRoute } from "../lib/deployment.js";
import { EngineReplica } from "../lib/engine.js";
import { HALLS, sleep } from "../lib/gateways.js";
import { HAS_TROUBLE, runCase } from "../lib/main.js";
import { HOSTS, startWorld } from "../lib/world.js";

const SETTLE_MS = 3000;
/** The site's requests to the model in a burst, 2.2 times the usual. */
const REQUEST_INTERVAL_MS = 36;
/** Handles lapse again and again, for a short time each. */
const WINDOWS = 26;
const WINDOW_MS = 600;
const PAUSE_MS = 2700;
/** Answers are sent twice for five seconds, around every two of these. */
const GARBLE_CYCLE_MS = 2 * (WINDOW_MS + PAUSE_MS);
const GARBLE_MS = 5000;
const GARBLED_SHARE = 0.03;
const MIN_COPY_MS = 10;
const MAX_COPY_MS = 100;
const EVENTS = 20;
const EVENT_MS = 20;
const CLIENT_TRIES = 2;
const DEFAULT_RETRY_S = 0.3;
const END_MS = 500;

const PATH = "/spis-suhrn/";
const BODY = "x".repeat(1000);

/** The trouble of this run. */
class Trouble {
  /** Handles are gone. */
  isLapsing = false;
  /** Some answers are sent twice. */
  isGarbling = false;
  garbling = new Set();

  copyAfterMs(replica) {
    const isGarbled = this.isGarbling && this.garbling.has(replica) &&
      Math.random() < GARBLED_SHARE;
    const spreadMs = MAX_COPY_MS - MIN_COPY_MS;
    return isGarbled ? MIN_COPY_MS + Math.random() * spreadMs : undefined;
  }
}

function createReplicas(record, runs, trouble) {
  const shared = {
    service: "model",
    peers: new Map(),
    record,
    runs,
    eventCount: EVENTS,
    eventMs: EVENT_MS,
    lapses: () => trouble.isLapsing,
    copyAfterMs: (replica) => trouble.copyAfterMs(replica),
  };
  const stages = ["prefill", "decode", "decode", "decode", "decode"];
  const replicas = stages.map((stage, index) => {
    const zone = HALLS[index % HALLS.length];
    return new EngineReplica({ ...shared, stage, zone });
  });
  // Three of five: the share of 0.6 that the site sets.
  for (const replica of replicas.slice(1, 4)) trouble.garbling.add(replica);
  return replicas;
}

/** One client: a refusal is followed by one more attempt elsewhere. */
async function call(number, { hosts, record, promises }) {
  for (let attempt = 0; attempt < CLIENT_TRIES; attempt++) {
    const host = hosts[(number + attempt) % HOSTS];
    const id = newAttemptId();
    record.note("sent", { id, host: host.name });
    const { status, isWhole, headers } = await send(host.callers, {
      method: "POST",
      path: `${PATH}${number}`,
      headers: {
        "Attempt-Id": id,
        Model: "m",
        "Token-Counts": "1200,72",
        "Prompt-Prefix": `${newAttemptId()}:200,${newAttemptId()}:1000`,
        "Deadline-Remaining-Ms": "14000",
      },
      body: BODY,
    });
    record.note("answered", { id, status, isWhole });
    if (status !== 429 && status !== 503) return;
    promises.set(id, status);
    await sleep(Number(headers["retry-after"] ?? DEFAULT_RETRY_S) * 1000);
  }
}

/** Sends requests at a steady pace, while the trouble comes and goes. */
async function play(world, trouble) {
  const cycleMs = WINDOW_MS + PAUSE_MS;
  const calls = [];
  const beganAt = performance.now();
  for (;;) {
    const atMs = performance.now() - beganAt;
    if (atMs >= WINDOWS * cycleMs) break;
    const isLapsing = HAS_TROUBLE && atMs % cycleMs >= PAUSE_MS;
    if (isLapsing !== trouble.isLapsing) {
      world.record.note("handles lapse", { isLapsing });
    }
    trouble.isLapsing = isLapsing;
    trouble.isGarbling = HAS_TROUBLE &&
      atMs % GARBLE_CYCLE_MS >= GARBLE_CYCLE_MS - GARBLE_MS;
    calls.push(call(calls.length, world));
    await sleep(REQUEST_INTERVAL_MS);
  }
  trouble.isLapsing = false;
  await Promise.all(calls);
  await sleep(END_MS);
  return calls.length;
}

/** The attempts that ran more than once, and where. */
function findRepeats(runs) {
  const byId = new Map();
  for (const { id, replica } of runs) {
    byId.set(id, [...(byId.get(id) ?? []), replica]);
  }
  return [...byId].filter(([, replicas]) => replicas.length > 1);
}

await runCase(import.meta.url, async ({ record, onEnd }) => {
  const runs = [];
  const promises = new Map();
  const trouble = new Trouble();
  const spisSuhrn = streamRoute({
    Name: "spis-suhrn",
    PathPrefix: PATH,
    MaxAttempts: 1,
    Resumable: false,
  });
  const { hosts } = await startWorld({ onEnd }, {
    replicas: createReplicas(record, runs, trouble),
    routes: [spisSuhrn],
    settleMs: SETTLE_MS,
  });
  const count = await play({ hosts, record, promises }, trouble);
  const repeats = findRepeats(runs);
  const ran = new Set(runs.map(({ id }) => id));
  const untrue = [...promises].filter(([id]) => ran.has(id));
  record.say(
    `${count} requests, ${runs.length} runs, ` +
      `${repeats.length} attempts that ran more than once, ` +
      `${untrue.length} that ran although they were refused`,
  );
  return [
    ...repeats.map(([id, at]) => `TWICE: ${id} ran at ${at.join(" and ")}`),
    ...untrue.map(([id, status]) => `REFUSED: ${id} got ${status} and has run`),
  ];
});
