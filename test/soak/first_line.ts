/**
 * Marks that the program has begun: Node.js ends a process by SIGHUP until then,
 * and no program can prevent it. The mark follows what the entry file does before
 * it loads anything.
 */
import { writeFileSync } from "node:fs";

/** The variable that names the file of the mark. */
export const MARK_VARIABLE = "OTTERHILL_SOAK_MARK";

const mark = process.env[MARK_VARIABLE];
if (mark !== undefined) queueMicrotask(() => writeFileSync(mark, ""));
