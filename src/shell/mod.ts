/** The shell: performs the core's I/O and reports results as events. */
export { type RunningHost, startHost } from "./host.ts";
export { type Log, openLog } from "./log.ts";
export { measurePrompt } from "./callers/prompt.ts";
export { PlatformClient } from "./platform/client.ts";
export { HttpFailure, openCall, readText } from "./upstreams/http.ts";
export {
  callControl,
  type ControlAnswer,
  type ControlTarget,
} from "./peers/control_client.ts";
