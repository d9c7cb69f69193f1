/** Schema of the configuration in messages between hosts. */
import * as z from "zod";
import { arrayOf } from "../../util/array_of.ts";
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
  targets: arrayOf(z.object({ service: z.string(), weight: z.number() })),
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
  keyDigests: arrayOf(z.string()),
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
  routes: arrayOf(Route),
  services: arrayOf(z.object({
    name: z.string(),
    connectionLimit: z.number(),
    healthPath: z.string().exactOptional(),
    engine: Engine.exactOptional(),
  })),
  limits: z.object({
    bodyBytes: z.number(),
    headBytes: z.number().exactOptional(),
    headerMs: z.number(),
    idleMs: z.number(),
  }),
  customers: arrayOf(Customer).exactOptional(),
});
