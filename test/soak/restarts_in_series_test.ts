/**
 * Hosts that restart one after the other while replicas and configurations
 * change. Guards against streams that a young host accepts although it stops.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { playSeries } from "./restarts_in_series.ts";
import { drawSeries } from "./restarts_in_series_plan.ts";

const SEED = 1;
const WINDOW_MS = 9000;
const NAME = `no request is cut by restarts in series of seed ${SEED}`;

test(NAME, knownRed(NAME), async (test) => {
  const series = drawSeries({ seed: SEED, windowMs: WINDOW_MS });
  const outcome = await playSeries(series);
  test.diagnostic(JSON.stringify(outcome));
  assert.ok(outcome.stops > 1);
  assert.ok(outcome.served > 0);
});
