/**
 * A host that was cut off or stood still while a version joined doesn't take
 * the silence of the others for their consent.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import {
  listing,
  stream,
  STREAM_TTL_MS,
  StreamFleet,
  type StreamHost,
} from "./stream_fleet.ts";
import { bound, SENT_MS } from "./stream_workload.ts";

/** Until the streams of a mixed service are in the store. */
const ARCHIVED_MS = 1500;
/** Longer than all questions to hosts and to the store. */
const RESOLVED_MS = 2000;
const STREAMS = 20;

/** Begins streams of a version at hosts in turn. */
function beginAll(hosts: readonly StreamHost[], version: string): string[] {
  return Array.from({ length: STREAMS }, (_, at) => {
    const id = `${version}-${at}`;
    const host = hosts[at % hosts.length];
    void host?.streams.note(stream(id), version, STREAM_TTL_MS);
    host?.streams.noteBegun(stream(id));
    return id;
  });
}

/** A fleet with one host that hears no other while a second version joins. */
async function fleetWithLoneHost(size = 9): Promise<{
  readonly fleet: StreamFleet;
  readonly lone: StreamHost;
  readonly others: readonly StreamHost[];
}> {
  const fleet = new StreamFleet(size);
  await fleet.settle("v1");
  const lone = fleet.host(size - 1);
  const others = fleet.hosts.filter((host) => host !== lone);
  fleet.isCut = (from, to) => (from === lone) !== (to === lone);
  fleet.listAt(others, ["v1", "v2"]);
  return { fleet, lone, others };
}

async function assertAllBound(
  { fleet, host, ids, version }: {
    readonly fleet: StreamFleet;
    readonly host: StreamHost;
    readonly ids: readonly string[];
    readonly version: string;
  },
): Promise<void> {
  for (const id of ids) {
    const binding = await fleet.resolve(host, stream(id), RESOLVED_MS);
    assert.deepEqual(binding, bound(version), id);
  }
}

// Guards against streams of a new version that go on at the one before it.
const JUST_SEEN =
  "a host that has just seen a second version and hears nobody doesn't take its streams for the first's";
test(JUST_SEEN, knownRed(JUST_SEEN), async () => {
  const { fleet, lone, others } = await fleetWithLoneHost();
  const ids = beginAll(others, "v2");
  await fleet.run(ARCHIVED_MS);
  lone.entries = listing("v1", "v2");
  await assertAllBound({ fleet, host: lone, ids, version: "v2" });
});

// Guards against a listing that has become stale since its last confirmation.
const NOT_SEEN =
  "a host that hasn't seen a second version and hears nobody doesn't take its streams for the first's";
test(NOT_SEEN, knownRed(NOT_SEEN), async () => {
  const { fleet, lone, others } = await fleetWithLoneHost();
  const ids = beginAll(others, "v2");
  await fleet.run(ARCHIVED_MS);
  lone.listingAgeMs = 1000;
  await assertAllBound({ fleet, host: lone, ids, version: "v2" });
});

// Guards against inferring before the silent hall's streams are in the store.
const SILENT_HALL =
  "a host that hears nobody of one hall doesn't infer the version before a transition";
test(SILENT_HALL, knownRed(SILENT_HALL), async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const isNorth = ({ entry }: StreamHost) => entry.hall === "hall-0";
  fleet.isCut = (from, to) => isNorth(from) !== isNorth(to);
  fleet.list("v1", "v2");
  fleet.store.mode = "silent";
  const ids = beginAll(fleet.hosts.filter(isNorth), "v2");
  await fleet.run(SENT_MS);
  for (const id of ids) {
    const host = fleet.host(1);
    const { type } = await fleet.resolve(host, stream(id), RESOLVED_MS);
    assert.equal(type, "unknown", id);
  }
});

// Guards against streams that no keeper and no writer has heard of.
const BEGUN_ALONE =
  "streams that a host begins while it hears nobody don't go on at another version elsewhere";
test(BEGUN_ALONE, knownRed(BEGUN_ALONE), async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const lone = fleet.host(8);
  fleet.isCut = (from, to) => (from === lone) !== (to === lone);
  fleet.list("v1", "v2");
  const ids = beginAll([lone], "v2");
  await fleet.run(ARCHIVED_MS);
  await assertAllBound({ fleet, host: fleet.host(0), ids, version: "v2" });
});

test("a host that hears nobody goes on with streams of the only version", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const lone = fleet.host(8);
  fleet.isCut = (from, to) => (from === lone) !== (to === lone);
  const binding = await fleet.resolve(lone, stream("a"), RESOLVED_MS);
  assert.deepEqual(binding, bound("v1"));
});

test("streams of a host that ends as a version joins go on though its hall has no other host", async () => {
  const fleet = new StreamFleet(3);
  await fleet.settle("v1");
  const [first, second] = fleet.hosts;
  void first?.streams.note(stream("a"), "v1", STREAM_TTL_MS);
  assert.ok(first && second);
  first.isAlive = false;
  fleet.listAt([second, fleet.host(2)], ["v1", "v2"]);
  const binding = await fleet.resolve(second, stream("a"), RESOLVED_MS);
  assert.deepEqual(binding, bound("v1"));
});
