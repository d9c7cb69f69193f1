/**
 * A gateway reaches a replica through another gateway, since the replica's queue
 * of new connections was full for a moment. That other gateway is killed and
 * started again while the replica is silent. Streams that went through it, and
 * have neither a length nor chunks, must not end as complete.
 */
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { callStream } from "../lib-2/calls.js";
import { runCase } from "../lib-2/streams.js";
import { configOf, sleep, World } from "../lib-2/world.js";

const HERE = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["brest-hall", "quimper-hall", "lorient-hall"];
const EVENTS = 68;
const TOKENS = [600, EVENTS];
const DEADLINE_MS = 14_000;
const WARM_UP_MS = 4000;
const EPISODES = 7;
/** Streams of an episode, one after the other. */
const STREAMS = 24;
const STREAM_INTERVAL_MS = 25;
/** Shorter than a gateway waits for its own connection to a replica. */
const SHORT_SILENCE_MS = 80;
const SHORT_SILENCES = 4;
const SHORT_SILENCE_INTERVAL_MS = 170;
/** "A second or so". */
const SILENCE_MS = 1400;
const KILL_DELAY_MS = 100;
/** "It is started again after a short delay." */
const RESTART_DELAY_MS = 100;
const SETTLE_MS = 4000;

function replicas() {
  const of = (stage, count) =>
    Array.from({ length: count }, (_, at) => ({
      id: `i-${stage}-${at + 1}`,
      stage,
      version: "v1",
      zone: ZONES[at % ZONES.length],
      isUnframed: true,
      backlog: stage === "decode" ? 1 : 511,
    }));
  return [...of("decode", 3), ...of("prefill", 1)];
}

/** How many connections a gateway has carried for others, by its log. */
function countTunnels({ log }) {
  return log.split('"tunnelServed"').length - 1;
}

async function runStream(gateway, streams, name) {
  const stream = { name, gateway: gateway.name, events: 0 };
  streams.push(stream);
  const { status, isWhole } = await callStream(gateway, {
    attempt: name,
    body: name,
    tokens: TOKENS,
    deadlineMs: DEADLINE_MS,
    onEvent: () => stream.events += 1,
  });
  Object.assign(stream, { status, isWhole });
}

async function playEpisode(world, { streams, episode }) {
  const { gateways: [gateway, ...others], replicas } = world;
  const [replica] = replicas;
  const before = others.map(countTunnels);
  const runs = [];
  const startAll = async () => {
    for (let at = 0; at < STREAMS; at++) {
      runs.push(runStream(gateway, streams, `s-${episode}-${at}`));
      await sleep(STREAM_INTERVAL_MS);
    }
  };
  const started = startAll();
  for (let at = 0; at < SHORT_SILENCES; at++) {
    await replica.stall(SHORT_SILENCE_MS);
    await sleep(SHORT_SILENCE_INTERVAL_MS - SHORT_SILENCE_MS);
  }
  await started;
  const counts = others.map((other, at) => countTunnels(other) - before[at]);
  const carrier = others[counts[0] >= counts[1] ? 0 : 1];
  world.record({ type: "carriers", counts, carrier: carrier.name });
  const isSilent = replica.stall(SILENCE_MS);
  if (HAS_TROUBLE) {
    await sleep(KILL_DELAY_MS);
    world.record({ type: "kill", gateway: carrier.name });
    carrier.signal("SIGKILL");
    await carrier.exited;
    await sleep(RESTART_DELAY_MS);
    carrier.start();
  }
  await isSilent;
  await Promise.all(runs);
  await sleep(SETTLE_MS);
}

const config = configOf({
  route: { Name: "match-recap", MaxAttempts: 1, Resumable: false },
});
const startWorld = () =>
  World.start({ replicas: replicas(), zones: ZONES, config });

function judge(world, streams) {
  const whole = streams.filter(({ status, isWhole }) =>
    status === 200 && isWhole
  );
  const short = whole.filter(({ events }) => events < EVENTS);
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `streams: ${streams.length}, ended as complete: ${whole.length}`,
    `ended as complete before their last event: ${short.length}, allowed: 0`,
  ];
  const lines = [
    ...summary,
    "",
    "platform and replicas, in ms from the start:",
    ...world.records.map((line) => JSON.stringify(line)),
    "",
    "callers:",
    ...streams.map((stream) => JSON.stringify(stream)),
  ];
  writeFileSync(join(HERE, "record.txt"), `${lines.join("\n")}\n`);
  console.log(summary.join("\n"));
  if (whole.length < streams.length / 2) return 2;
  return short.length > 0 ? 1 : 0;
}

const code = await runCase(startWorld, async (world) => {
  const streams = [];
  await sleep(WARM_UP_MS);
  for (let episode = 0; episode < EPISODES; episode++) {
    await playEpisode(world, { streams, episode });
  }
  return judge(world, streams);
});
process.exit(code);
