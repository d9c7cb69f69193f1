/** The gateway: forwards callers' requests to replicas of upstream services. */
export * from "./port.ts";
export type { StorePosition } from "./position.ts";
export * from "./routing/model.ts";
export * from "./customers/model.ts";
export * from "./replicas/model.ts";
export * from "./replicas/notice.ts";
export * from "./limits/model.ts";
export { startGateway } from "./gateway.ts";
export type { RunningGateway } from "./running_gateway.ts";
export { withoutHeaders } from "./http/headers.ts";
export { type Connect, tcpConnect } from "./upstreams/connect.ts";
export {
  createJsonClient,
  type JsonAnswer,
  type JsonClient,
} from "./upstreams/json_client.ts";
export { ResponseError, ResponseFault } from "./upstreams/json_body.ts";
export { parseAddress } from "../util/address.ts";
export { MAX_NAME_CHARS, Name } from "./name_schema.ts";
export { systemClock } from "./clock.ts";
export type { ProcessSignals } from "./early_signals.ts";
export { runGateway } from "./program.ts";
