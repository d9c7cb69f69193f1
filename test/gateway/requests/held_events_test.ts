/** Events are read while their stream must not reach its caller yet. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { openRelay } from "./relay_rig.ts";

const EVENT = Buffer.from("id: 1\ndata: a\n\n");

/** Waits until all promises that can be settled are. */
async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

function openHeld() {
  let open: (mayForward: boolean) => void = () => undefined;
  const mayForward = new Promise<boolean>((resolve) => open = resolve);
  const options = { resumable: true, replicaRates: true, mayForward };
  return { ...openRelay(options), open };
}

test("events are observed when they arrive, and forwarded when they may be", async () => {
  const { message, written, reports, relayed, open } = openHeld();
  message.emit("data", EVENT);
  message.emit("data", EVENT);
  await settle();
  assert.deepEqual([written.length, reports], [0, ["started"]]);
  open(true);
  await settle();
  assert.equal(Buffer.concat(written).toString(), `${EVENT}${EVENT}`);
  message.emit("data", EVENT);
  message.emit("close");
  const { outcome, position } = await relayed;
  assert.deepEqual([outcome, written.length], ["complete", 3]);
  assert.deepEqual([position.lastId, position.hasForwarded], ["1", true]);
});

test("a stream that ends while it is held is complete once it is forwarded", async () => {
  const { message, written, relayed, open } = openHeld();
  message.emit("data", EVENT);
  message.emit("close");
  await settle();
  assert.equal(written.length, 0);
  open(true);
  const { outcome } = await relayed;
  assert.deepEqual([outcome, written.length], ["complete", 1]);
});

test("nothing is forwarded of a stream that its caller must not receive", async () => {
  const { message, written, relayed, open } = openHeld();
  Object.assign(message, { destroy: () => message.emit("close") });
  message.emit("data", EVENT);
  open(false);
  const { outcome, position } = await relayed;
  assert.deepEqual([outcome, written.length], ["withheld", 0]);
  assert.deepEqual(position, {});
});

test("a long stream that is held is not read without bound", async () => {
  const { message, written, relayed, open } = openHeld();
  const calls: string[] = [];
  Object.assign(message, {
    pause: () => calls.push("pause"),
    resume: () => calls.push("resume"),
  });
  const long = Buffer.from(`data: ${"a".repeat(100_000)}\n\n`);
  for (let part = 0; part < 2; part++) message.emit("data", long);
  assert.deepEqual(calls, []);
  message.emit("data", long);
  assert.deepEqual(calls, ["pause"]);
  open(true);
  await settle();
  assert.deepEqual([calls, written.length], [["pause", "resume"], 3]);
  message.emit("close");
  assert.equal((await relayed).outcome, "complete");
});

test("a head that can't be written ends the forwarding with its error", async () => {
  const onHead = () => {
    throw new Error("Invalid header");
  };
  const options = { resumable: true, replicaRates: true, onHead };
  const { message, relayed } = openRelay(options);
  message.emit("data", EVENT);
  await assert.rejects(relayed, /Invalid header/);
  message.emit("close");
});
