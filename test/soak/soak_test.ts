/** Short soaks with seeds that draw stores, limits, notices and paths. */
import { testSeeds } from "./test_seeds.ts";

/** The store is restored from a copy twice, once without an outage. */
const RESTORE_SEED = 6;

/**
 * Single replicas and a whole stage have limits of 0.3 and 6.5 requests per
 * second.
 */
const LIMIT_SEED = 9;

/**
 * Single replicas and a whole stage require backoffs, and one replica reports
 * draining. All decisions under load are switched on, replicas differ in speed,
 * memory is scarce, and the planner of a service is killed.
 */
const NOTICE_SEED = 14;

testSeeds([1, 2, RESTORE_SEED, LIMIT_SEED, NOTICE_SEED]);
