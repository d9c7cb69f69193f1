/**
 * Fingerprints of requests, by which retries of a request are recognized, and
 * of the parts of prompts that requests share.
 */
import { createHash } from "node:crypto";
import { sha256 } from "../../util/sha256.ts";

/** Hex digits of a fingerprint: 128 bits, to make collisions negligible. */
const DIGITS = 32;
const LOGGED_DIGITS = 8;
/** Maximum number of parts of prompts that a log line names. */
export const MAX_LOGGED_PARTS = 8;
/** Maximum size of a body that is hashed for each complete response. */
const MAX_CHEAP_BYTES = 64 * 1024;
/** Shared parts of a prompt that are fingerprinted; a header may list many. */
const MAX_PARTS = 64;

/**
 * The parts of a request that make it the same request; ids differ per retry.
 */
export type FingerprintInput = {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Undefined where callers are not identified. */
  readonly customer: string | undefined;
  readonly body: Buffer;
};

/** Fingerprints a request. */
export function fingerprintOf(input: FingerprintInput): string {
  const { method, host, target, customer = "", body } = input;
  // Encoded as JSON, so that different parts never yield the same text.
  const prefix = JSON.stringify([method, host, target, customer]);
  return createHash("sha256").update(prefix).update(body).digest("hex")
    .slice(0, DIGITS);
}

/** What a request has in common with its retries and with other requests. */
export type Fingerprints = {
  /** Of the request: equal for every attempt of it, at any host. */
  readonly request: () => string;
  /** Whether the body is too large to be hashed for each complete response. */
  readonly isCostly: boolean;
  /** Of its service. */
  readonly service: () => string;
  /** Of the parts of its prompt that other requests may share, in order. */
  readonly parts: () => readonly string[];
};

/** Fingerprints a part of a prompt; services may use the same ids of parts. */
export function partFingerprintOf(service: string, part: string): string {
  return shortHash(JSON.stringify([service, part]));
}

/**
 * Computes fingerprints on first use: hashing a body of 4 MB takes
 * milliseconds, and a request that is refused before it is sent needs none.
 */
export function lazyFingerprints(
  input: FingerprintInput,
  { service, parts }: {
    readonly service: string;
    readonly parts: readonly string[];
  },
): Fingerprints {
  return {
    request: once(() => fingerprintOf(input)),
    isCostly: input.body.length > MAX_CHEAP_BYTES,
    service: once(() => shortHash(JSON.stringify([service]))),
    parts: once(() =>
      [...new Set(parts.slice(0, MAX_PARTS))]
        .map((part) => partFingerprintOf(service, part))
    ),
  };
}

/** A fingerprint as it is logged where there are several in a line. */
export function shortFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, LOGGED_DIGITS);
}

function shortHash(text: string): string {
  return sha256(text).slice(0, DIGITS);
}

function once<Value>(compute: () => Value): () => Value {
  let known: Value | undefined;
  return () => known ??= compute();
}
