/** A least-squares line through samples, older ones fading. */

/** Weighted sums of the samples. */
export type LineFit = {
  weight: number;
  x: number;
  y: number;
  xx: number;
  xy: number;
};

/** y = base + slope * x. */
export type Line = { readonly base: number; readonly slope: number };

/** A fit without samples. */
export function emptyFit(): LineFit {
  return { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
}

/** Adds a sample; `memory` is the part of the old samples that stays. */
export function addSample(
  fit: LineFit,
  sample: { readonly x: number; readonly y: number },
  memory: number,
): void {
  const { x, y } = sample;
  fit.weight = fit.weight * memory + 1;
  fit.x = fit.x * memory + x;
  fit.y = fit.y * memory + y;
  fit.xx = fit.xx * memory + x * x;
  fit.xy = fit.xy * memory + x * y;
}

/** The rising line; undefined with few samples or without spread. */
export function fittedLine(fit: LineFit): Line | undefined {
  const { weight, x, y, xx, xy } = fit;
  if (weight < 3) return undefined;
  const spread = weight * xx - x * x;
  if (spread < weight) return undefined;
  const slope = (weight * xy - x * y) / spread;
  if (slope <= 0) return undefined;
  return { base: (y - slope * x) / weight, slope };
}
