/** Settings schemas of the stand-ins. */
import * as z from "zod";
import { DEFAULT_ENGINE } from "../standins/engine/mod.ts";
import { address, duration, listenAddress, name } from "./units.ts";

const Engine = z.strictObject({
  slots: z.int().min(1).default(DEFAULT_ENGINE.slots),
  prefill_tokens_per_second: z.number().positive()
    .default(DEFAULT_ENGINE.prefillRate),
  step_base: duration(`${DEFAULT_ENGINE.stepBaseMs}ms`),
  step_per_request: duration(`${DEFAULT_ENGINE.stepPerRequestMs}ms`),
  step_beside_prefill: z.number().min(1)
    .default(DEFAULT_ENGINE.stepBesidePrefill),
  cache_tokens: z.int().min(0).default(DEFAULT_ENGINE.cacheTokens),
  export_kept: duration(`${DEFAULT_ENGINE.exportMs}ms`),
  transfer_per_1000_tokens: duration(
    `${DEFAULT_ENGINE.transferMsPerToken * 1000}ms`,
  ),
  chunk_tokens: z.int().min(1).default(DEFAULT_ENGINE.chunkTokens),
  report_lag: duration(`${DEFAULT_ENGINE.reportLagMs}ms`),
});

const Plain = z.strictObject({
  slots: z.int().min(1).default(8),
  service_time: duration("30ms"),
});

/** One entry of the platform's host list. */
export const ListEntrySchema = z.strictObject({
  id: name(),
  kind: z.enum(["entry", "upstream"]),
  hall: name(),
  region: name(),
  address: address(),
  service: z.string().default(""),
  role: z.enum(["", "prefill", "decode", "plain"]).default(""),
  leaving: z.boolean().default(false),
  checks_orders: z.boolean().default(true),
  slots: z.int().min(0).default(DEFAULT_ENGINE.slots),
  prefill_tokens_per_second: z.int().min(0)
    .default(DEFAULT_ENGINE.prefillRate),
  cache_tokens: z.int().min(0).default(DEFAULT_ENGINE.cacheTokens),
});

/** The schema of an engine stand-in's settings file. */
export const EngineSchema = z.strictObject({
  id: name(),
  listen: listenAddress(),
  engine: Engine.prefault({}),
});
/** Checked settings of an engine stand-in. */
export type EngineSettings = z.output<typeof EngineSchema>;

/** The schema of a plain service stand-in's settings file. */
export const PlainSchema = z.strictObject({
  id: name(),
  listen: listenAddress(),
  plain: Plain.prefault({}),
});
/** Checked settings of a plain service stand-in. */
export type PlainSettings = z.output<typeof PlainSchema>;

/** The schema of the platform stand-in's settings file. */
export const PlatformSchema = z.strictObject({
  listen: listenAddress(),
  hosts: z.array(ListEntrySchema).default([]),
});
/** Checked settings of the platform stand-in. */
export type PlatformSettings = z.output<typeof PlatformSchema>;
