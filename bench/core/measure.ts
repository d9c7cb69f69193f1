/** Helpers that measure run time and heap use, and fit lines. */

/** Runs before the measurement, so that the code is compiled. */
const WARM_UP_RUNS = 3000;

/** Returns the median over batches of the mean run time, in microseconds. */
export function medianMicroseconds(run: () => void, batch: number): number {
  const times: number[] = [];
  for (let n = 0; n < WARM_UP_RUNS; n += 1) run();
  for (let round = 0; round < 15; round += 1) {
    const start = performance.now();
    for (let n = 0; n < batch; n += 1) run();
    times.push((performance.now() - start) / batch * 1000);
  }
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)] ?? 0;
}

/** Returns the heap size of a value in bytes. */
export function measureHeap(make: () => unknown): number {
  const collect = globalThis.gc ?? (() => undefined);
  collect();
  const before = process.memoryUsage().heapUsed;
  const value = make();
  collect();
  const after = process.memoryUsage().heapUsed;
  return value === undefined ? 0 : after - before;
}

/** A measured point. */
export type Point = { readonly x: number; readonly y: number };

/** The line y = base + slope * x. */
export type Line = { readonly base: number; readonly slope: number };

/** Fits a line by least squares. */
export function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const sum = (value: (point: Point) => number): number =>
    points.reduce((total, point) => total + value(point), 0);
  const sx = sum((point) => point.x);
  const sy = sum((point) => point.y);
  const sxx = sum((point) => point.x * point.x);
  const sxy = sum((point) => point.x * point.y);
  const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  return { base: (sy - slope * sx) / n, slope };
}

/** Returns the value of a line at x. */
export function valueAt(line: Line, x: number): number {
  return line.base + line.slope * x;
}
