/** Bodies of calls to engines, specified in docs/UPSTREAM.md. */
import * as z from "zod";

/** Response to a prefill call. */
export const PrefillAnswer = z.looseObject({
  kv_transfer_params: z.looseObject({}),
  kv_kept_ms: z.number(),
  usage: z.looseObject({
    prompt_tokens_details: z.looseObject({ cached_tokens: z.number() })
      .optional(),
  }).optional(),
});

/** An event of an engine's stream. */
export const StreamEvent = z.looseObject({
  choices: z.array(z.looseObject({
    text: z.string().optional(),
    delta: z.looseObject({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish(),
  })).min(1),
});

/** Load report of an engine. */
export const LoadAnswer = z.looseObject({
  running: z.number(),
  slots: z.number(),
  prefill_queue_tokens: z.number(),
  prefill_tokens_per_second: z.number(),
  step_ms: z.number(),
  draining: z.boolean(),
  role: z.string().optional(),
  epoch: z.number(),
});

/** A page of cache events. */
export const CacheAnswer = z.looseObject({
  from: z.number(),
  events: z.array(
    z.looseObject({ stored: z.boolean(), hash: z.number() }),
  ),
});

/** List of an upstream's attempts. */
export const HeldAnswer = z.looseObject({ requests: z.array(z.string()) });

/** Returns the body of a prefill call. */
export function prefillBody(body: string): string {
  return JSON.stringify({
    ...parsed(body),
    stream: false,
    max_tokens: 1,
    kv_transfer_params: { do_remote_decode: true },
  });
}

/** Returns the body of a decode call, with local prefill if no `transfer`. */
export function decodeBody(body: string, transfer?: string): string {
  const params = transfer === undefined
    ? {}
    : { kv_transfer_params: JSON.parse(transfer) as unknown };
  return JSON.stringify({ ...parsed(body), stream: true, ...params });
}

function parsed(body: string): Record<string, unknown> {
  return JSON.parse(body) as Record<string, unknown>;
}
