/** Figures of a sweep are read from what it prints. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  extrapolate,
  formatTable,
  readSweep,
} from "../../bench/capacity/sweep.ts";

const TEXT = [
  "sweep-10               10/99   0.79  0.786  0.924   0.000  0.032  worst zone 0.78",
  "sweep-100            101/999   0.00  0.846  0.974   0.000  0.027  worst windows 0.89; prices 0.084, most for GB between zones  BROKEN: CONFIG 1 (else 0.85)",
  "",
  "middle / busiest or longest, by own machines",
  "                                                          10             100  power  at null",
  "gateway: kB a second                             30.4 / 35.3      25.2 / 285   0.92  -",
  "config acked, ms                                 29.0 / 29.0     59.0 / 60.0   0.08  -",
  "power: the busiest grows as machines to this power",
].join("\n");

test("a printed sweep gives its sizes, rows and days", () => {
  const sweep = readSweep(TEXT);
  assert.deepEqual(sweep.sizes, [10, 100]);
  assert.deepEqual(sweep.rows, [
    {
      name: "kB a second",
      cells: [{ middle: 30.4, most: 35.3 }, { middle: 25.2, most: 285 }],
      power: 0.92,
    },
    {
      name: "config acked, ms",
      cells: [{ middle: 29, most: 29 }, { middle: 59, most: 60 }],
      power: 0.08,
    },
  ]);
  assert.deepEqual(sweep.days, [
    { name: "sweep-10", worth: 0.786, broken: "" },
    { name: "sweep-100", worth: 0.846, broken: "CONFIG 1" },
  ]);
});

test("the busiest host is carried on by its power", () => {
  const { rows: [row], sizes } = readSweep(TEXT);
  assert.ok(row);
  assert.equal(extrapolate(100, row, sizes), 285);
  assert.equal(Math.round(extrapolate(330, row, sizes)), 855);
});

test("a table names what a size broke", () => {
  const table = formatTable(readSweep(TEXT), 330);
  assert.match(table, /\| kB a second \| 30\.4 \/ 35\.3 \| 25\.2 \/ 285 \|/);
  assert.match(table, /0\.846, broken: CONFIG 1/);
});

test("text that is no table is refused", () => {
  assert.throws(() => readSweep("nothing"), /No sizes/);
});
