/** Short soaks with seeds that draw cut paths and responses, and releases. */
import { REGRESSIONS } from "./regressions.ts";
import { testSeeds } from "./test_seeds.ts";

const REGRESSION_SEEDS = REGRESSIONS.slice(-1).map((regression) =>
  regression.seed
);

/**
 * The paths of a hall's hosts to all replicas are cut, some silent and some
 * reset, and a replica is silent for a second.
 */
const PATH_SEED = 13;

/**
 * Some responses end with their connections, and single replicas and a whole
 * stage cut responses of all framings.
 */
const CUT_RESPONSE_SEED = 38;

/**
 * A release replaces the engine's replicas and is taken back, replicas restart
 * at other versions, and a third of the hosts is killed at once.
 */
const RELEASE_SEED = 106;

testSeeds([PATH_SEED, CUT_RESPONSE_SEED, RELEASE_SEED]);
testSeeds(REGRESSION_SEEDS, { isFirstKindsOnly: true });
