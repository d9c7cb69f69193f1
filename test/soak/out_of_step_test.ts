/**
 * Guards against streams that go on at another software version at a host that
 * was out of step when the version joined.
 */
import { testSeeds } from "./test_seeds.ts";

/**
 * All hosts have seen a whole window of the first version. Two hosts stand still
 * while the next version joins, and the others are killed as these go on.
 */
const SUSPENDED_SEED = 53;

testSeeds([SUSPENDED_SEED], { only: "outOfStep" });
