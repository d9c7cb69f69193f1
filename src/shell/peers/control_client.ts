/** Operators' programs call an entry host. */
import { Client, credentials } from "@grpc/grpc-js";
import type { ControlReply, ControlRequest } from "../../messages/control.ts";
import { controlMethod } from "./service.ts";

/** The inside of a call and of its answer. */
export type ControlAsk = NonNullable<ControlRequest["kind"]>;
/** The inside of an answer. */
export type ControlAnswer = NonNullable<ControlReply["kind"]>;

/** Where and how to call. */
export type ControlTarget = {
  /** `IP:port` of an entry host's peer listener. */
  readonly address: string;
  readonly keyHash: string;
  readonly timeoutMs: number;
};

/** Makes one call; rejects when there is no answer or an error. */
export function callControl(
  target: ControlTarget,
  kind: ControlAsk,
): Promise<ControlAnswer> {
  const client = new Client(target.address, credentials.createInsecure());
  const { path, requestSerialize, responseDeserialize } = controlMethod;
  return new Promise((resolve, reject) => {
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      { keyHash: target.keyHash, kind },
      { deadline: Date.now() + target.timeoutMs },
      (error, reply) => {
        client.close();
        if (error) {
          return reject(new Error(`${target.address}: ${error.details}`));
        }
        const answer = reply?.kind;
        if (!answer) return reject(new Error(`${target.address}: no answer`));
        if (answer.$case !== "error") return resolve(answer);
        reject(new Error(`${target.address}: ${answer.value}`));
      },
    );
  });
}
