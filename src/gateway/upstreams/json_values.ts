/** Bounds the number of values of a JSON text without parsing it. */

/** Each value but the first and those of members stands behind one of these. */
const DELIMITERS = Buffer.from(",[{");

/**
 * Counts the characters of a part of a text that begin objects and arrays or
 * separate values: the whole text has at most twice as many values and keys. Those
 * in strings count, too: base64 and names contain none or few.
 */
export function countDelimiters(part: Buffer): number {
  let count = 0;
  for (const delimiter of DELIMITERS) {
    let at = part.indexOf(delimiter);
    while (at >= 0) {
      count += 1;
      at = part.indexOf(delimiter, at + 1);
    }
  }
  return count;
}
