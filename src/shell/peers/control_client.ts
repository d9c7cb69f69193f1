/** Client of an entry host for operators' programs. */
import { Client, credentials } from "@grpc/grpc-js";
import type { ControlReply, ControlRequest } from "../../messages/control.ts";
import { controlMethod } from "./service.ts";

/** Payload of a call. */
export type ControlCall = NonNullable<ControlRequest["kind"]>;
/** Payload of a response. */
export type ControlAnswer = NonNullable<ControlReply["kind"]>;

/** Address, key and timeout of a call. */
export type ControlTarget = {
  /** `IP:port` of an entry host's peer listener. */
  readonly address: string;
  readonly keyHash: string;
  readonly timeoutMs: number;
};

/** Makes a call; rejects on an error or without a response. */
export function callControl(
  target: ControlTarget,
  kind: ControlCall,
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
        if (!answer) {
          return reject(new Error(`${target.address}: empty response`));
        }
        if (answer.$case !== "error") return resolve(answer);
        reject(new Error(`${target.address}: ${answer.value}`));
      },
    );
  });
}
