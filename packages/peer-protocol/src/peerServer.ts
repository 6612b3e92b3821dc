/** gRPC server: accepts streams and forwarded calls from authenticated peers. */
import type { sendUnaryData, ServerCredentials, ServerDuplexStream, ServerUnaryCall } from "@grpc/grpc-js";
import { Server, status } from "@grpc/grpc-js";
import type { ForwardedCall, ForwardedResponse } from "@rhubarbwheel/types/ports";
import type { Authenticator, PeerIdentity } from "./authentication.js";
import { decodeForwardedCall, encodeForwardedResponse } from "./peerCodec.js";
import { createServerOptions, peerExchange } from "./peerExchange.js";
import type { PeerStream, PeerStreamObserver } from "./peerStream.js";
import { createPeerStream } from "./peerStream.js";

/** Time after which streams and forwarded calls that have not ended are aborted when the server closes. */
const closeTimeoutMs = 2_000;

export interface PeerServerOptions {
    readonly self: string;
    readonly credentials: ServerCredentials;
    readonly authenticator: Authenticator;
    readonly maxMessageBytes: number;
    readonly getObserver: (router: string) => PeerStreamObserver;
    /** Returns why a stream is refused, if it is. Called before the stream opens, so that the peer backs off. */
    readonly findRefusal: (peer: PeerIdentity) => string | undefined;
    readonly onStream: (stream: PeerStream) => void;
    readonly onForwardedCall: (call: ForwardedCall) => Promise<ForwardedResponse>;
    readonly onProblem: (router: string, problem: string) => void;
}

export interface PeerServer {
    readonly listen: (address: string) => Promise<{ readonly port: number; }>;
    readonly close: () => Promise<void>;
}

export function createPeerServer(opts: PeerServerOptions): PeerServer {
    const { authenticator } = opts;
    const server = new Server(createServerOptions(opts.maxMessageBytes));

    const acceptStream = (grpcStream: ServerDuplexStream<Buffer, Buffer>): void => {
        const result = authenticator.verifyRequest("exchange", grpcStream.metadata);
        grpcStream.on("error", () => undefined);
        if (result.type === "refused") {
            opts.onProblem("", `A peer at ${grpcStream.getPeer()} was refused: ${result.reason}`);
            grpcStream.emit("error", createStatusError(status.UNAUTHENTICATED, result.reason));
            return;
        }
        const { peer, nonce } = result;
        const refusal = opts.findRefusal(peer);
        if (refusal !== undefined) {
            grpcStream.emit("error", createStatusError(status.ABORTED, refusal));
            return;
        }
        const abortGrpcStream = () =>
            grpcStream.emit("error", createStatusError(status.ABORTED, "the stream was superseded"));
        const observer = opts.getObserver(peer.router);
        const stream = createPeerStream({ grpcStream, peer, openedBy: peer.router, observer, abortGrpcStream });
        let peerEnded = false;
        grpcStream.on("end", () => {
            peerEnded = true;
            stream.end();
        });
        grpcStream.on("cancelled", () => stream.close(false));
        grpcStream.on("close", () => stream.close(peerEnded));
        grpcStream.sendMetadata(authenticator.signReply("exchange", peer.router, nonce));
        opts.onStream(stream);
    };

    const handleForwardedCall = (unaryCall: ServerUnaryCall<Buffer, Buffer>, callback: sendUnaryData<Buffer>): void => {
        const result = authenticator.verifyRequest("forward", unaryCall.metadata);
        if (result.type === "refused") {
            opts.onProblem("", `A forwarded call from ${unaryCall.getPeer()} was refused: ${result.reason}`);
            callback(createStatusError(status.UNAUTHENTICATED, result.reason));
            return;
        }
        const decoded = decodeForwardedCall(unaryCall.request);
        if (decoded.type === "malformed" || decoded.value.forwardedBy !== result.peer.router) {
            const reason = decoded.type === "malformed" ? decoded.problem : "its sender is not the authenticated peer";
            opts.onProblem(result.peer.router, `A forwarded call was refused: ${reason}`);
            callback(createStatusError(status.INVALID_ARGUMENT, reason));
            return;
        }
        opts.onForwardedCall(decoded.value).then(response => {
            unaryCall.sendMetadata(authenticator.signReply("forward", result.peer.router, result.nonce));
            callback(undefined as never, encodeForwardedResponse(response));
        }).catch((error: unknown) => {
            opts.onProblem(result.peer.router, `A forwarded call failed: ${String(error)}`);
            callback(createStatusError(status.INTERNAL, "the forwarded call failed"));
        });
    };

    server.addService(peerExchange, { exchange: acceptStream, forwardCall: handleForwardedCall });

    return {
        listen: address =>
            new Promise((resolve, reject) => {
                server.bindAsync(address, opts.credentials, (error, port) => {
                    if (error) reject(error);
                    else resolve({ port });
                });
            }),
        close: () =>
            new Promise(resolve => {
                const timer = setTimeout(() => server.forceShutdown(), closeTimeoutMs);
                server.tryShutdown(() => {
                    clearTimeout(timer);
                    resolve();
                });
            }),
    };
}

function createStatusError(code: status, details: string): Error & { code: status; details: string; } {
    return Object.assign(new Error(details), { code, details });
}
