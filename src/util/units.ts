/** Units that the code counts in. */

/** A span or a point of time in milliseconds. */
export type Milliseconds = number;
