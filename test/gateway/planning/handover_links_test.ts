/**
 * Three hosts that are linked, of which the planner is killed without notice.
 * Guards against estimates that are lost with their planner.
 */
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { test } from "node:test";
import { rendezvous } from "../../../src/util/rendezvous.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import type { PlacementRequest } from "../../../src/gateway/planning/assignment.ts";
import { PlannerClient } from "../../../src/gateway/planning/planner_client.ts";
import { PlanService } from "../../../src/gateway/planning/plan_service.ts";
import { LOOPBACK } from "../../loopback.ts";
import { listen } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";
import { TEST_TIMEOUT_MS, TEST_TUNING } from "../test_tuning.ts";

const SERVICE = "service";
const HOSTS = ["h0", "h1", "h2"];
const SLOW = "r1";
const POLL_MS = 5;
/** Time from one round of requests to the next. */
const ROUND_MS = 100;
/** Longer than a host waits before it opens a link again. */
const LINK_RETRY_MS = 1000;

type Host = {
  readonly id: string;
  readonly client: PlannerClient;
  readonly plans: PlanService;
  readonly server: Server;
  readonly metrics: Metrics;
  readonly events: string[];
};

/** Three hosts in a hall each; `now` is the time of all. */
class Fleet {
  readonly #base: GatewayContext;
  readonly #rateHandover: boolean;
  readonly #entries = HOSTS.map((id) => ({ id, address: "", hall: id }));
  #sent = 0;
  now = 0;

  constructor(base: GatewayContext, rateHandover: boolean) {
    this.#base = base;
    this.#rateHandover = rateHandover;
    base.replicas.adopt({
      revision: 2,
      entries: [0, 1, 2].map((index) =>
        replicaEntry(`r${index}`, {
          service: SERVICE,
          stage: "decode",
          hall: "hall",
        })
      ),
    });
  }

  async start(id: string): Promise<Host> {
    const events: string[] = [];
    const metrics = new Metrics();
    const scheduling = {
      ...TEST_TUNING.scheduling,
      replicaRates: true,
      rateHandover: this.#rateHandover,
    };
    const context: GatewayContext = {
      ...this.#base,
      self: { id, hall: id, run: "1" },
      // Without timers, a link ends only when it is closed.
      clock: {
        ...this.#base.clock,
        now: () => this.now,
        after: () => () => undefined,
      },
      metrics,
      events: { note: (name: string) => void events.push(name) },
      tuning: { ...TEST_TUNING, scheduling },
    };
    const plans = new PlanService(context);
    const server = createServer((request, response) =>
      plans.accept(request, response)
    );
    const port = await listen(server);
    const entry = this.#entries.find((known) => known.id === id);
    assert.ok(entry);
    entry.address = `${LOOPBACK}:${port}`;
    const others = this.#entries.filter((known) => known !== entry);
    const client = new PlannerClient(context, plans, () => others);
    return { id, client, plans, server, metrics, events };
  }

  /** Each host in turn sends a request that is answered at once. */
  async play(hosts: readonly Host[], rounds: number): Promise<void> {
    for (let round = 0; round < rounds; round++) {
      for (const { client } of hosts) {
        this.#sent += 1;
        const id = String(this.#sent);
        const result = await client.request(placement(id, this.now)).result;
        assert.ok("decode" in result, JSON.stringify(result));
        const runMs = result.decode === SLOW ? 8000 : 1600;
        client.started(id, 100);
        client.answered(id, { events: 70, runMs });
      }
      this.now += ROUND_MS;
    }
  }
}

function stop({ server }: Host): void {
  server.closeAllConnections();
  server.close();
}

function placement(id: string, now: number): PlacementRequest {
  return {
    id,
    service: SERVICE,
    tokens: 100,
    promptTokens: 100,
    outputTokens: 70,
    customer: "",
    objectiveMs: 900,
    priority: 1,
    dueAt: now + 900,
    abandonAt: now + 3000,
    key: "",
    longestRetryMs: 4000,
    mayHaveRun: false,
    localPrefill: true,
    repeatable: true,
    excluded: new Set(),
  };
}

async function until(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise((done) => setTimeout(done, POLL_MS));
}

async function untilPlans(planner: Host, hosts: readonly Host[]) {
  for (const { client } of hosts) {
    await until(() => client.plannerOf(SERVICE) === planner.id);
  }
}

/** The speed of the slow replica by the planner's metrics. */
function slowSpeed({ plans }: Host): number | undefined {
  const family = plans.gauges().find(({ name }) => name === "replica_speed");
  return family?.values.find(({ labels }) => labels["replica"] === SLOW)
    ?.value;
}

/** Kills the planner after `rounds`, and another host sends one request. */
async function killPlanner(
  rig: Rig,
  options: { readonly rateHandover: boolean; readonly rounds: number },
) {
  const fleet = new Fleet(rig.context, options.rateHandover);
  const [first, second, third] = await Promise.all(
    rendezvous(SERVICE, HOSTS).map((id) => fleet.start(id)),
  );
  assert.ok(first && second && third);
  await untilPlans(first, [first, second, third]);
  await fleet.play([first, second, third], options.rounds);
  stop(first);
  await untilPlans(second, [second, third]);
  await fleet.play([third], 1);
  return { fleet, first, second, third };
}

const OPTIONS = { timeout: TEST_TIMEOUT_MS };
const RIG = { replicas: [], engine: ENGINE };

test(
  "the planner is killed, and the next one knows which replica is slow",
  OPTIONS,
  () =>
    withRig(RIG, async (rig) => {
      const options = { rateHandover: true, rounds: 40 };
      const { first, second, third } = await killPlanner(rig, options);
      assert.ok(first.metrics.counterValue("rate_summary_bytes") > 0);
      const speed = slowSpeed(second);
      assert.ok(speed !== undefined && speed < 0.6, String(speed));
      assert.ok(second.events.includes("ratesHandedOver"));
      [second, third].forEach(stop);
    }),
);

test(
  "a host that becomes the planner again gets the estimates from the one before",
  OPTIONS,
  () =>
    withRig(RIG, async (rig) => {
      const options = { rateHandover: true, rounds: 1 };
      const { fleet, first, second, third } = await killPlanner(rig, options);
      await fleet.play([second, third], 40);
      const restarted = await fleet.start(first.id);
      fleet.now += LINK_RETRY_MS;
      await untilPlans(restarted, [second, third]);
      await fleet.play([third], 1);
      const speed = slowSpeed(restarted);
      assert.ok(speed !== undefined && speed < 0.6, String(speed));
      [restarted, second, third].forEach(stop);
    }),
);

test(
  "a planner that is killed before its first summary leaves nothing",
  OPTIONS,
  () =>
    withRig(RIG, async (rig) => {
      const options = { rateHandover: true, rounds: 10 };
      const { first, second, third } = await killPlanner(rig, options);
      assert.equal(first.metrics.counterValue("rate_summary_bytes"), 0);
      assert.equal(slowSpeed(second), 1);
      assert.ok(!second.events.includes("ratesHandedOver"));
      [second, third].forEach(stop);
    }),
);

test(
  "with the setting off no host gets or keeps a summary",
  OPTIONS,
  () =>
    withRig(RIG, async (rig) => {
      const options = { rateHandover: false, rounds: 40 };
      const { first, second, third } = await killPlanner(rig, options);
      assert.equal(first.metrics.counterValue("rate_summary_bytes"), 0);
      assert.equal(slowSpeed(second), 1);
      assert.ok(!second.events.includes("ratesHandedOver"));
      [second, third].forEach(stop);
    }),
);
