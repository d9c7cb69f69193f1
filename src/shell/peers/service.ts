/** The gRPC services between otterhill's processes. */
import type { MethodDefinition, ServiceDefinition } from "@grpc/grpc-js";
import { Envelope } from "../../messages/peer.ts";
import { ControlReply, ControlRequest } from "../../messages/control.ts";

/** What generated messages can do. */
type Codec<Message> = {
  encode(message: Message): { finish(): Uint8Array };
  decode(bytes: Uint8Array): Message;
};

/** The empty answer to an envelope. */
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
    requestSerialize: (one) => Buffer.from(request.encode(one).finish()),
    requestDeserialize: (bytes) => request.decode(bytes),
    responseSerialize: (one) => Buffer.from(reply.encode(one).finish()),
    responseDeserialize: (bytes) => reply.decode(bytes),
  };
}

/** Delivers messages of one core to another. */
export const deliverMethod: MethodDefinition<Envelope, Receipt> = unary(
  "/otterhill.Peer/Deliver",
  Envelope,
  ReceiptCodec,
);

/** Serves operators' programs. */
export const controlMethod: MethodDefinition<ControlRequest, ControlReply> =
  unary("/otterhill.Control/Call", ControlRequest, ControlReply);

/** Both methods as one service. */
export const peerService: ServiceDefinition = {
  deliver: deliverMethod,
  control: controlMethod,
};
