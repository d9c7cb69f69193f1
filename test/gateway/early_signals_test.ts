/** Guards against a signal ending the process while the program loads. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import {
  handleSignals,
  type SignalledProcess,
} from "../../src/gateway/early_signals.ts";

class FakeProcess extends EventEmitter {
  readonly exitCodes: number[] = [];
  exit(code: number): void {
    this.exitCodes.push(code);
  }
}

function createSignals() {
  const target = new FakeProcess();
  const signals = handleSignals(target as unknown as SignalledProcess);
  return { target, signals };
}

test("early SIGHUPs cause one reload, later ones one reload each", () => {
  const { target, signals } = createSignals();
  target.emit("SIGHUP");
  target.emit("SIGHUP");
  let count = 0;
  signals.onReload(() => count += 1);
  assert.equal(count, 1);
  target.emit("SIGHUP");
  assert.equal(count, 2);
});

test("an early stop signal exits with 0, later ones stop the program once", () => {
  const early = createSignals();
  early.target.emit("SIGTERM");
  early.target.emit("SIGINT");
  assert.deepEqual(early.target.exitCodes, [0]);

  const { target, signals } = createSignals();
  let stops = 0;
  signals.onStop(() => stops += 1);
  target.emit("SIGINT");
  target.emit("SIGTERM");
  assert.equal(stops, 1);
  assert.deepEqual(target.exitCodes, []);
});
