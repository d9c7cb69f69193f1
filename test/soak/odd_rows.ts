/** Rows among those of the replicas that no replica would write. */
import { randomInt } from "../../src/util/random.ts";
import {
  drawFaults,
  mixedGenerator,
  type ScheduleOptions,
} from "./draw_faults.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import { FIRST_SOFTWARE_VERSION, HALLS, type World } from "./world.ts";

/** Kinds of faults that are drawn here. */
export const ODD_ROW_KINDS: readonly FaultKind[] = [FaultKind.oddRow];

const ODD_ROW_SEED = 12_000_017;
/** The exclusive upper bound of a draw from 0. */
const ODD_ROW_RANGE = 4;
const DEEP_LEVELS = 1000;

/** Fields that make a replica's row invalid. */
const ODD_FIELDS: readonly object[] = [
  { Address: "127.0.0.1: 80" },
  { Address: "127.0.0.1:80\n" },
  { Address: "127.0.0.1:\u00a080" },
  { Address: "127.0.0.1:65536" },
  { Address: "127.0.0.1:1000000000" },
  { Address: "127.0.0.1:-1" },
  { Slots: nested(DEEP_LEVELS) },
  { State: nested(DEEP_LEVELS) },
];

/** Draws from a generator of its own, so that seeds keep their other faults. */
export function drawOddRows(options: ScheduleOptions): Fault[] {
  if (!options.hasOddRows) return [];
  const random = mixedGenerator(options.seed + ODD_ROW_SEED);
  const count = 1 + randomInt(random, ODD_ROW_RANGE);
  return drawFaults(random, options, { kinds: ODD_ROW_KINDS, count });
}

/** Writes a row with one odd field; the result removes it. */
export function writeOddRow(
  { store }: World,
  { target }: Fault,
): () => void {
  const id = `odd-${target}`;
  store.put("servers", id, {
    Service: "engine",
    Stage: "decode",
    State: "ready",
    Address: "127.0.0.1:80",
    Zone: HALLS[0],
    Version: FIRST_SOFTWARE_VERSION,
    Slots: 64,
    ColdRemainingMs: 0,
    Sequence: 1,
    Models: [{ Name: "m" }],
    born: 1,
    ...ODD_FIELDS[target % ODD_FIELDS.length],
  });
  return () => store.remove("servers", id);
}

/** An array in an array, and so on. */
function nested(levels: number): unknown[] {
  let value: unknown[] = [];
  for (let level = 0; level < levels; level++) value = [value];
  return value;
}
