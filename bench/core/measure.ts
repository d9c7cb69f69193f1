/** Timing and memory of pieces of the core. */

/** Runs before the clock counts, so that the code is compiled. */
const WARM_RUNS = 3000;

/** Median time of a run in microseconds, over batches. */
export function microseconds(run: () => void, batch: number): number {
  const times: number[] = [];
  for (let n = 0; n < WARM_RUNS; n += 1) run();
  for (let round = 0; round < 15; round += 1) {
    const start = performance.now();
    for (let n = 0; n < batch; n += 1) run();
    times.push((performance.now() - start) / batch * 1000);
  }
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)] ?? 0;
}

/** Heap that a value takes, in bytes. */
export function heapOf(make: () => unknown): number {
  const collect = globalThis.gc ?? (() => undefined);
  collect();
  const before = process.memoryUsage().heapUsed;
  const kept = make();
  collect();
  const after = process.memoryUsage().heapUsed;
  return kept === undefined ? 0 : after - before;
}

/** A point of a measured line. */
export type Point = { readonly x: number; readonly y: number };

/** A line through points: y = base + slope * x. */
export type Line = { readonly base: number; readonly slope: number };

/** Least squares. */
export function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const sum = (value: (one: Point) => number): number =>
    points.reduce((total, one) => total + value(one), 0);
  const sx = sum((one) => one.x);
  const sy = sum((one) => one.y);
  const sxx = sum((one) => one.x * one.x);
  const sxy = sum((one) => one.x * one.y);
  const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  return { base: (sy - slope * sx) / n, slope };
}

/** The line's value. */
export function at(line: Line, x: number): number {
  return line.base + line.slope * x;
}
