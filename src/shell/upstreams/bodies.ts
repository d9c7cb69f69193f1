/** The bodies of calls to engines; docs/UPSTREAM.md is their description. */
import * as z from "zod";

/** What a prefill call's answer must hold. */
export const PrefillAnswer = z.looseObject({
  kv_transfer_params: z.looseObject({}),
  kv_kept_ms: z.number(),
  usage: z.looseObject({
    prompt_tokens_details: z.looseObject({ cached_tokens: z.number() })
      .optional(),
  }).optional(),
});

/** One event of an engine's stream. */
export const StreamPiece = z.looseObject({
  choices: z.array(z.looseObject({
    text: z.string().optional(),
    delta: z.looseObject({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish(),
  })).min(1),
});

/** An engine's load report. */
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

/** What an upstream holds. */
export const HeldAnswer = z.looseObject({ requests: z.array(z.string()) });

/** The body of a prefill call. */
export function prefillBody(body: string): string {
  return JSON.stringify({
    ...parsed(body),
    stream: false,
    max_tokens: 1,
    kv_transfer_params: { do_remote_decode: true },
  });
}

/** The body of a decode call; without a transfer the engine does it all. */
export function decodeBody(body: string, transfer?: string): string {
  const params = transfer === undefined
    ? {}
    : { kv_transfer_params: JSON.parse(transfer) as unknown };
  return JSON.stringify({ ...parsed(body), stream: true, ...params });
}

function parsed(body: string): Record<string, unknown> {
  return JSON.parse(body) as Record<string, unknown>;
}
