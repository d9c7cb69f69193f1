/** Definitions of the gRPC services. */
import type { MethodDefinition, ServiceDefinition } from "@grpc/grpc-js";
import { Envelope } from "../../messages/peer.ts";
import { ControlReply, ControlRequest } from "../../messages/control.ts";

/** Encodes and decodes a generated message type. */
type Codec<Message> = {
  encode(message: Message): { finish(): Uint8Array };
  decode(bytes: Uint8Array): Message;
};

/** Empty response to an envelope. */
export type Receipt = Record<string, never>;

const ReceiptCodec: Codec<Receipt> = {
  encode: () => ({ finish: () => new Uint8Array() }),
  decode: () => ({}),
};

function unary<Request, Reply>(
  path: string,
  request: Codec<Request>,
  reply: Codec<Reply>,
): MethodDefinition<Request, Reply> {
  return {
    path,
    requestStream: false,
    responseStream: false,
    requestSerialize: (message) =>
      Buffer.from(request.encode(message).finish()),
    requestDeserialize: (bytes) => request.decode(bytes),
    responseSerialize: (message) => Buffer.from(reply.encode(message).finish()),
    responseDeserialize: (bytes) => reply.decode(bytes),
  };
}

/** Delivers a host's messages to a peer. */
export const deliverMethod: MethodDefinition<Envelope, Receipt> = unary(
  "/otterhill.Peer/Deliver",
  Envelope,
  ReceiptCodec,
);

/** Handles a call of an operator's program. */
export const controlMethod: MethodDefinition<ControlRequest, ControlReply> =
  unary("/otterhill.Control/Call", ControlRequest, ControlReply);

/** Service with both methods. */
export const peerService: ServiceDefinition = {
  deliver: deliverMethod,
  control: controlMethod,
};
