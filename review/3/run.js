/**
 * The last replicas of a software version leave the listing while streams that
 * they began go on. All hosts are killed then, and started again. Clients take
 * their streams up.
 */
import { newAttemptId, send } from "../lib/client.js";
import { streamRoute } from "../lib/deployment.js";
import { EngineReplica } from "../lib/engine.js";
import { HALLS, sleep } from "../lib/gateways.js";
import { HAS_TROUBLE, runCase } from "../lib/main.js";
import { HOSTS, startWorld } from "../lib/world.js";

/** Longer than the window of the retry budget. */
const SETTLE_MS = 11_000;
const REQUEST_INTERVAL_MS = 100;
const WARM_UP_MS = 4000;
const RELEASE_GAP_MS = 1000;
/** From the end of the release to the kill. */
const KILL_AFTER_MS = 300;
const RESTART_MS = 1000;
/** The only retry of a client comes so long after its connection broke. */
const RETRY_MS = 2500;
const RETRIES = 1;
const EVENTS = 24;
const EVENT_MS = 150;
/** ORDER is broken by more mixed streams than this. */
const MAX_MIXED = 2;
const PATH = "/namietka-triedenie/";
const EVENT = /^id: (\d+)\ndata: (\S+) /gm;

/** The whole events of a body, which may end inside one. */
function eventsOf(body) {
  const whole = body.slice(0, body.lastIndexOf("\n\n") + 2);
  return [...whole.matchAll(EVENT)].map(([, number, version]) => ({
    number: Number(number),
    version,
  }));
}

/** Returns a function that creates replicas, in one hall after the other. */
function replicaFactory(record) {
  const shared = {
    service: "model",
    peers: new Map(),
    record,
    runs: [],
    eventCount: EVENTS,
    eventMs: EVENT_MS,
  };
  let count = 0;
  return (stage, version) => {
    const zone = HALLS[count % HALLS.length];
    count += 1;
    return new EngineReplica({ ...shared, stage, version, zone });
  };
}

/** The headers with which a client takes its stream up. */
function resumption({ first, events }) {
  const last = events.at(-1);
  if (!last) return {};
  return { "Last-Event-Id": String(last.number), Resumes: first };
}

/** Sends one attempt of a stream; returns whether it has ended well. */
async function attempt(stream, { host, record }) {
  const id = newAttemptId();
  const taken = resumption(stream);
  record.note("sent", { id, host: host.name, ...taken });
  const { status, isWhole, body } = await send(host.callers, {
    method: "POST",
    path: `${PATH}${stream.number}`,
    headers: {
      "Attempt-Id": id,
      Model: "m",
      "Token-Counts": "1200,72",
      "Prompt-Prefix": stream.prompt,
      "Deadline-Remaining-Ms": "14000",
      ...taken,
    },
    body: "x".repeat(1000),
  });
  const got = status === 200 ? eventsOf(body) : [];
  if (got.length > 0) stream.first ??= id;
  stream.events.push(...got);
  const versions = [...new Set(got.map(({ version }) => version))].join("+");
  const events = got.length;
  record.note("answered", { id, status, isWhole, events, versions });
  return status === 200 && isWhole;
}

/** One client's stream, over its tries. */
async function playStream(number, { hosts, record }) {
  const prompt = `${newAttemptId()}:200,${newAttemptId()}:1000`;
  const stream = { number, prompt, events: [], first: undefined };
  for (let tries = 0; tries <= RETRIES; tries++) {
    const host = hosts[(number + tries) % HOSTS];
    if (await attempt(stream, { host, record })) break;
    await sleep(RETRY_MS);
  }
  return stream;
}

/** A new replica is added for each old one, whose entry goes without a word. */
async function release(old, { beats, create, record }) {
  for (const replica of old) {
    await sleep(RELEASE_GAP_MS);
    await beats.add(create("decode", "v2"));
    beats.remove(replica);
    record.note("entry gone", { replica: replica.id });
  }
}

async function killAll(hosts, record) {
  record.note("all hosts killed");
  await Promise.all(hosts.map((host) => host.kill()));
  await sleep(RESTART_MS);
  for (const host of hosts) host.start();
}

function describeMixed({ first, events }) {
  const versions = events.map(({ version }) => version);
  const begun = versions.filter((version) => version === versions[0]).length;
  return `ORDER: ${first} has ${begun} events of ${versions[0]} and then ` +
    `${versions.length - begun} of ${versions.at(-1)}`;
}

await runCase(import.meta.url, async ({ record, onEnd }) => {
  const create = replicaFactory(record);
  const staying = ["prefill", "decode", "decode"].map((stage) =>
    create(stage, "v2")
  );
  // Two of five: the share of 0.45 that the site sets.
  const old = [create("decode", "v1"), create("decode", "v1")];
  const namietka = streamRoute({
    Name: "namietka-triedenie",
    PathPrefix: PATH,
    MaxAttempts: 2,
    Resumable: true,
  });
  const { hosts, beats } = await startWorld({ onEnd }, {
    replicas: [...staying, ...old],
    routes: [namietka],
    settleMs: SETTLE_MS,
  });
  const streams = [];
  const timer = setInterval(
    () => streams.push(playStream(streams.length, { hosts, record })),
    REQUEST_INTERVAL_MS,
  );
  onEnd(() => clearInterval(timer));
  await sleep(WARM_UP_MS);
  await release(old, { beats, create, record });
  await sleep(KILL_AFTER_MS);
  if (HAS_TROUBLE) await killAll(hosts, record);
  await sleep(WARM_UP_MS);
  clearInterval(timer);
  const ended = await Promise.all(streams);
  const mixed = ended.filter(({ events }) =>
    new Set(events.map(({ version }) => version)).size > 1
  );
  record.say(
    `${ended.length} streams, ${mixed.length} of them with events of two ` +
      "software versions",
  );
  return mixed.length > MAX_MIXED ? mixed.map(describeMixed) : [];
});
