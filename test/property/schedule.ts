/** Random schedules of calls and faults. */
import fc from "fast-check";

/** One thing that happens at a time. */
export type Happening =
  | {
    readonly type: "call";
    readonly host: number;
    readonly key: number;
    readonly once: boolean;
    readonly stream: boolean;
    readonly promptTokens: number;
    readonly outputTokens: number;
  }
  | { readonly type: "hangUp"; readonly call: number }
  | { readonly type: "kill"; readonly host: number; readonly backMs: number }
  | { readonly type: "freeze"; readonly host: number; readonly spanMs: number }
  | {
    readonly type: "cut";
    readonly a: number;
    readonly b: number;
    readonly spanMs: number;
  }
  | { readonly type: "platformDown"; readonly spanMs: number }
  | { readonly type: "platformSlow"; readonly spanMs: number }
  | { readonly type: "loseWrites"; readonly count: number }
  | {
    readonly type: "upstreamDies";
    readonly upstream: number;
    readonly backMs: number;
  }
  | {
    readonly type: "stall";
    readonly upstream: number;
    readonly spanMs: number;
  }
  | {
    readonly type: "loseCancels";
    readonly upstream: number;
    readonly count: number;
  }
  | { readonly type: "dropCache"; readonly upstream: number }
  | {
    readonly type: "stop";
    readonly upstream: number;
    readonly spanMs: number;
  }
  | { readonly type: "split"; readonly prefill: number }
  | { readonly type: "publish"; readonly priority: number };

/** A happening and when it happens. */
export type Timed = { readonly at: number; readonly what: Happening };

/** Faults begin after the fleet has settled, and end by then. */
export const FAULTS_FROM_MS = 6000;
/** No fault begins after this. */
export const FAULTS_UNTIL_MS = 30_000;

const host = fc.nat(5);
const upstream = fc.nat(8);
const span = fc.integer({ min: 100, max: 25_000 });
const place = fc.nat(3);

const call = fc.record({
  type: fc.constant("call" as const),
  host,
  key: fc.nat(5),
  once: fc.boolean(),
  stream: fc.boolean(),
  promptTokens: fc.integer({ min: 20, max: 12_000 }),
  outputTokens: fc.integer({ min: 1, max: 600 }),
});

const happening: fc.Arbitrary<Happening> = fc.oneof(
  { weight: 12, arbitrary: call },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("hangUp" as const),
      call: fc.nat(30),
    }),
  },
  fc.record({ type: fc.constant("kill" as const), host, backMs: span }),
  fc.record({ type: fc.constant("freeze" as const), host, spanMs: span }),
  fc.record({
    type: fc.constant("cut" as const),
    a: place,
    b: place,
    spanMs: span,
  }),
  fc.record({ type: fc.constant("platformDown" as const), spanMs: span }),
  fc.record({ type: fc.constant("platformSlow" as const), spanMs: span }),
  fc.record({
    type: fc.constant("loseWrites" as const),
    count: fc.integer({ min: 1, max: 3 }),
  }),
  fc.record({
    type: fc.constant("upstreamDies" as const),
    upstream,
    backMs: span,
  }),
  fc.record({ type: fc.constant("stall" as const), upstream, spanMs: span }),
  fc.record({
    type: fc.constant("loseCancels" as const),
    upstream,
    count: fc.integer({ min: 1, max: 4 }),
  }),
  fc.record({ type: fc.constant("dropCache" as const), upstream }),
  fc.record({ type: fc.constant("stop" as const), upstream, spanMs: span }),
  fc.record({
    type: fc.constant("split" as const),
    prefill: fc.integer({ min: 1, max: 5 }),
  }),
  fc.record({
    type: fc.constant("publish" as const),
    priority: fc.integer({ min: 0, max: 9 }),
  }),
);

const stop = fc.record({
  type: fc.constant("stop" as const),
  upstream,
  spanMs: fc.integer({ min: 8000, max: 25_000 }),
});

/** Only calls and planned stops: nothing fails. */
export const calmSchedules: fc.Arbitrary<Timed[]> = fc.array(
  fc.record({
    at: fc.integer({ min: FAULTS_FROM_MS, max: FAULTS_UNTIL_MS }),
    what: fc.oneof({ weight: 6, arbitrary: call }, stop),
  }),
  { minLength: 1, maxLength: 60 },
);

/** Schedules of up to sixty happenings. */
export const schedules: fc.Arbitrary<Timed[]> = fc.array(
  fc.record({
    at: fc.integer({ min: FAULTS_FROM_MS, max: FAULTS_UNTIL_MS }),
    what: happening,
  }),
  { minLength: 1, maxLength: 60 },
);
