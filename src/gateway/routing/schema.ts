/** Schema of the configuration in messages between hosts. */
import * as z from "zod";
import { QuotaUnit } from "../customers/model.ts";
import { RouteKind } from "./model.ts";

const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(RouteKind),
  timeoutMs: z.number(),
  objectiveMs: z.number(),
  gapMs: z.number(),
  silenceMs: z.number(),
  attempts: z.number(),
  priority: z.number(),
  targets: z.array(z.object({ service: z.string(), weight: z.number() }))
    .readonly(),
  resumable: z.boolean(),
  anonymous: z.boolean(),
});

const Engine = z.object({
  slots: z.number(),
  cacheTokens: z.number(),
  exportMs: z.number(),
  reservationMs: z.number(),
  tokensPerEvent: z.number(),
  switchMs: z.number(),
});

const Customer = z.object({
  name: z.string(),
  keyDigests: z.array(z.string()).readonly(),
  priority: z.number().exactOptional(),
  quota: z.object({
    unit: z.enum(QuotaUnit),
    perSecond: z.number(),
    burst: z.number(),
    plainUnits: z.number(),
  }).exactOptional(),
});

/** Parses a `RouteConfig`. */
export const RouteConfigSchema = z.object({
  version: z.number(),
  routes: z.array(Route).readonly(),
  services: z.array(z.object({
    name: z.string(),
    connectionLimit: z.number(),
    healthPath: z.string().exactOptional(),
    engine: Engine.exactOptional(),
  })).readonly(),
  limits: z.object({
    bodyBytes: z.number(),
    headBytes: z.number().exactOptional(),
    headerMs: z.number(),
    idleMs: z.number(),
  }),
  customers: z.array(Customer).readonly().exactOptional(),
});
