/** Guards against an uncaught error ending a host that serves. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { Metrics } from "../../src/gateway/observe/metrics.ts";
import {
  handleUnexpectedErrors,
  noteUnexpectedError,
} from "../../src/gateway/unexpected_errors.ts";

class FakeProcess extends EventEmitter {
  readonly exitCodes: number[] = [];
  exit(code: number): void {
    this.exitCodes.push(code);
  }
}

test("an error during the start ends the process, a later one doesn't", () => {
  const target = new FakeProcess();
  const setHandler = handleUnexpectedErrors(target);
  target.emit("uncaughtException", new Error("early"), "uncaughtException");
  assert.deepEqual(target.exitCodes, [1]);
  const origins: string[] = [];
  setHandler((_error, origin) => origins.push(origin));
  target.emit("uncaughtException", new Error("late"), "unhandledRejection");
  assert.deepEqual(target.exitCodes, [1]);
  assert.deepEqual(origins, ["unhandledRejection"]);
});

test("values of all kinds are logged with a bounded stack and counted", () => {
  const metrics = new Metrics();
  const stacks: string[] = [];
  const events = {
    note: (_name: string, fields?: { readonly error?: unknown }) =>
      stacks.push(String(fields?.error)),
  };
  const values = [
    new Error("x".repeat(10_000)),
    undefined,
    Object.create(null),
    Object.assign(new Error("no stack"), { stack: 1 }),
  ] as const;
  for (const error of values) {
    noteUnexpectedError({ events, metrics }, {
      error,
      origin: "uncaughtException",
    });
  }
  assert.equal(stacks.length, values.length);
  assert.ok(stacks.every((stack) => stack.length <= 4000));
  assert.match(stacks[0] ?? "", /^Error: x/);
  assert.equal(metrics.counterValue("unexpected_errors"), values.length);
});
