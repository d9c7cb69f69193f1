/** The workload of the demos. */
import { checkSettings } from "../../settings/mod.ts";
import { type Workload, WorkloadSchema } from "../load/workload.ts";

/** Bursts of long prompts with shared prefixes, short ones, and plain calls. */
export function demoWorkload(
  { model, service, key, seconds }: {
    readonly model: string;
    readonly service: string;
    readonly key: string;
    readonly seconds: number;
  },
): Workload {
  const text = `
duration = "${seconds}s"

[[streams]]
name = "commentary"
service = "${model}"
key = "${key}"
requests_per_second = 3
prompt_tokens = [3000, 8000]
shared_prefixes = 6
output_tokens = [60, 160]
burst_every = "6s"
burst_length = "1s"
burst_factor = 4

[[streams]]
name = "caption"
service = "${model}"
key = "${key}"
requests_per_second = 8
prompt_tokens = [40, 200]
output_tokens = [10, 30]

[[streams]]
name = "tag"
service = "${service}"
key = "${key}"
plain = true
requests_per_second = 4
`;
  return checkSettings("demo", text, WorkloadSchema).unwrap();
}
