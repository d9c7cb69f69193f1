/** Least-squares line fit with exponentially decaying sample weights. */

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

/** Creates a fit without samples. */
export function createLineFit(): LineFit {
  return { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
}

/** Adds a sample after multiplying the earlier samples' weights by `decay`. */
export function addSample(
  fit: LineFit,
  sample: { readonly x: number; readonly y: number },
  decay: number,
): void {
  const { x, y } = sample;
  fit.weight = fit.weight * decay + 1;
  fit.x = fit.x * decay + x;
  fit.y = fit.y * decay + y;
  fit.xx = fit.xx * decay + x * x;
  fit.xy = fit.xy * decay + x * y;
}

/**
 * The fitted line; undefined with too few samples, little spread or slope <= 0.
 */
export function computeLine(fit: LineFit): Line | undefined {
  const { weight, x, y, xx, xy } = fit;
  if (weight < 3) return undefined;
  const spread = weight * xx - x * x;
  if (spread < weight) return undefined;
  const slope = (weight * xy - x * y) / spread;
  if (slope <= 0) return undefined;
  return { base: (y - slope * x) / weight, slope };
}
