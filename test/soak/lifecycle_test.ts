/**
 * Guards against processes that end by themselves around starts, and against
 * requests that a stopping host leaves unanswered.
 */
import { testSeeds } from "./test_seeds.ts";

/**
 * Settings are torn and ports taken while hosts start, hosts start before their
 * predecessors have ended, and two are stopped one after the other.
 */
const TAKEN_PORTS_SEED = 3;

/**
 * Ports are taken, settings torn or missing, hosts stopped during their starts;
 * two replicas send bytes without end, and four hosts are stopped in series.
 */
const TORN_SETTINGS_SEED = 20;

/** Hosts are reloaded during their starts, several at once and in series. */
const RELOADS_SEED = 14;

testSeeds([TAKEN_PORTS_SEED, TORN_SETTINGS_SEED, RELOADS_SEED], {
  only: "lifecycle",
});
