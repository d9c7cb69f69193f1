/** Bounds the nesting of values that are passed on as they were received. */

/** Whether a JSON value has more levels of arrays and objects than `levels`. */
export function isNestedDeeper(value: unknown, levels: number): boolean {
  if (typeof value !== "object" || value === null) return false;
  return levels === 0 ||
    Object.values(value).some((part) => isNestedDeeper(part, levels - 1));
}
