/** Types of units. */

/** A duration or a point in time in milliseconds. */
export type Milliseconds = number;
