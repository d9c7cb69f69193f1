/** The deciding core: pure, synchronous, without I/O, clock or chance. */
export * from "./errors.ts";
export * from "./events.ts";
export * from "./request_ids.ts";
export * from "../util/ids.ts";
export * from "../util/units.ts";
export * from "./options.ts";
export * from "./orders.ts";
export * from "./policies/mod.ts";
export * from "./step.ts";
export * from "./world.ts";
export * from "./setups/customer.ts";
export * from "./setups/setup.ts";
export * from "./setups/split.ts";
export * from "./setups/template.ts";
export { Phase } from "./tables/requests.ts";
export { Role } from "./tables/upstreams.ts";
export type { Setup } from "./tables/settings.ts";
export { BLOCK_TOKENS } from "./systems/upstreams.ts";
export { randomInt } from "../util/random.ts";
export { rendezvous } from "../util/rendezvous.ts";
export {
  type Envelope,
  Envelope as EnvelopeCodec,
  type HostList,
  type ListEntry,
  type PeerMessage,
} from "../messages/peer.ts";
export { isLive, plannerOf } from "./systems/membership.ts";
export { accepting } from "./systems/upstreams.ts";
