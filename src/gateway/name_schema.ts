/** The schema of names in rows and in messages between hosts. */
import * as z from "zod";

/**
 * Maximum length of a name. Hosts pass on the names that they read, so what
 * one accepts all others have to accept.
 */
export const MAX_NAME_CHARS = 1000;

/** Parses the name of a service, a software version, a host or a hall. */
export const Name = z.string().max(MAX_NAME_CHARS);
