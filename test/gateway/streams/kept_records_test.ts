/**
 * A host waits until another one has the record of a stream before its caller
 * gets the first event: the stream can be resumed although the host ends then.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  stream,
  STREAM_TTL_MS,
  StreamFleet,
  type StreamHost,
} from "./stream_fleet.ts";
import { mixedFleet } from "./stream_workload.ts";

/** Longest time after which a host goes on without a keeper. */
const LONGEST_WAIT_MS = 250;

/** Records a stream and returns the time until it is kept. */
async function keptAfterMs(
  fleet: StreamFleet,
  host: StreamHost,
  id: string,
): Promise<number> {
  const startedAt = fleet.now;
  let keptAt: number | undefined;
  void host.streams.note(stream(id), "v1", STREAM_TTL_MS)
    .then(() => keptAt = fleet.now);
  while (keptAt === undefined && fleet.now <= startedAt + 1000) {
    await fleet.run(1);
  }
  return (keptAt ?? Infinity) - startedAt;
}

test("a stream that is recorded is known when its host ends at that moment", async () => {
  for (let at = 0; at < 20; at++) {
    const fleet = await mixedFleet();
    const origin = fleet.host(at % 9);
    const waitedMs = await keptAfterMs(fleet, origin, `a${at}`);
    assert.ok(waitedMs < 10, `${waitedMs} ms`);
    origin.isAlive = false;
    const others = fleet.hosts.filter((host) => host !== origin);
    for (const host of others) {
      const binding = await fleet.resolve(host, stream(`a${at}`));
      assert.deepEqual(binding, { type: "bound", softwareVersion: "v1" });
    }
  }
});

test("a keeper that doesn't respond doesn't hold up a stream that another has", async () => {
  const fleet = await mixedFleet();
  const [origin, hung] = [fleet.host(0), fleet.host(4)];
  fleet.isCut = (_, to) => to === hung;
  for (let at = 0; at < 40; at++) {
    const waitedMs = await keptAfterMs(fleet, origin, `a${at}`);
    assert.ok(waitedMs < 10, `${waitedMs} ms`);
  }
});

test("a host that reaches no keeper begins its streams all the same", async () => {
  const fleet = await mixedFleet();
  fleet.isCut = () => true;
  const { metrics } = fleet.host(0);
  const waitedMs = await keptAfterMs(fleet, fleet.host(0), "a");
  assert.ok(waitedMs <= LONGEST_WAIT_MS + 1, `${waitedMs} ms`);
  assert.equal(metrics.counterValue("streams_begun_unkept"), 1);
});

test("a record that no keeper took is sent again", async () => {
  const fleet = await mixedFleet(4);
  const origin = fleet.host(0);
  fleet.isCut = (from) => from === origin;
  void origin.streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(1000);
  fleet.isCut = () => false;
  await fleet.run(1500);
  origin.isAlive = false;
  for (const host of fleet.hosts.slice(1)) {
    const binding = await fleet.resolve(host, stream("a"));
    assert.deepEqual(binding, { type: "bound", softwareVersion: "v1" });
  }
});

test("a record that no keeper takes is given up after some tries", async () => {
  const fleet = await mixedFleet(4);
  const { streams, metrics } = fleet.host(0);
  fleet.isCut = () => true;
  void streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(STREAM_TTL_MS);
  assert.equal(metrics.counterValue("stream_records_unkept"), 1);
  const sent = fleet.messages.filter(({ body }) => body.includes('"keep"'));
  assert.equal(sent.length, 6 * 3);
});

test("a stream of a service with one version, and one of a single host, begin at once", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const waitedMs = await keptAfterMs(fleet, fleet.host(0), "a");
  assert.ok(waitedMs < 5, `${waitedMs} ms`);
  const single = new StreamFleet(1);
  const aloneMs = await keptAfterMs(single, single.host(0), "a");
  assert.ok(aloneMs < 5, `${aloneMs} ms`);
  assert.equal(fleet.messages.length, 0);
});

/** Begins a stream at v1, and then at v2 while no keeper responds. */
async function beginTwice(fleet: StreamFleet): Promise<boolean | undefined> {
  const { streams } = fleet.host(0);
  let mayBegin: boolean | undefined;
  assert.equal(await keptAfterMs(fleet, fleet.host(0), "a") < 10, true);
  fleet.isCut = () => true;
  void streams.note(stream("a"), "v2", STREAM_TTL_MS)
    .then((result) => mayBegin = result);
  await fleet.run(LONGEST_WAIT_MS + 1);
  return mayBegin;
}

test("a stream doesn't begin while keepers have its record of another version alone", async () => {
  const fleet = await mixedFleet();
  assert.equal(await beginTwice(fleet), false);
  const { metrics } = fleet.host(0);
  await fleet.run(1000);
  assert.equal(metrics.counterValue("streams_withheld"), 1);
  assert.equal(metrics.counterValue("streams_begun_unkept"), 0);
});

test("nor does it when it is sent to that version once more", async () => {
  const fleet = await mixedFleet();
  await beginTwice(fleet);
  let mayBegin: boolean | undefined;
  void fleet.host(0).streams.note(stream("a"), "v2", STREAM_TTL_MS)
    .then((result) => mayBegin = result);
  await fleet.run(LONGEST_WAIT_MS + 1);
  assert.equal(mayBegin, false);
});

test("a stream that is sent to another version begins once that is kept", async () => {
  const fleet = await mixedFleet();
  await keptAfterMs(fleet, fleet.host(0), "a");
  let mayBegin: boolean | undefined;
  void fleet.host(0).streams.note(stream("a"), "v2", STREAM_TTL_MS)
    .then((result) => mayBegin = result);
  await fleet.run(LONGEST_WAIT_MS);
  assert.equal(mayBegin, true);
  fleet.host(0).isAlive = false;
  const binding = await fleet.resolve(fleet.host(1), stream("a"));
  assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
});

test("a record that was replaced is not sent again", async () => {
  const fleet = await mixedFleet(4);
  const origin = fleet.host(0);
  fleet.isCut = (from) => from === origin;
  void origin.streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(300);
  void origin.streams.note(stream("a"), "v2", STREAM_TTL_MS);
  await fleet.run(150);
  fleet.messages.length = 0;
  fleet.isCut = () => false;
  await fleet.run(1500);
  origin.isAlive = false;
  for (const host of fleet.hosts.slice(1)) {
    const binding = await fleet.resolve(host, stream("a"));
    assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
  }
  const records = fleet.messages.filter(({ body }) => body.includes('"keep"'));
  assert.ok(records.length > 0);
  assert.ok(records.every(({ body }) => !body.includes('"v1"')));
});
