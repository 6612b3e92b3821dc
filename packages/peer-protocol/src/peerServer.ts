/** The server side: accepts streams and forwarded calls from authenticated peers. */
import type { sendUnaryData, ServerCredentials, ServerDuplexStream, ServerUnaryCall } from "@grpc/grpc-js";
import { Server, status } from "@grpc/grpc-js";
import type { ForwardedCall, ForwardedResponse } from "@rhubarbwheel/types/ports";
import type { Authenticator, PeerIdentity } from "./authentication.js";
import { decodeForwardedCall, encodeForwardedAnswer } from "./peerCodec.js";
import { makeServerOptions, peerExchange } from "./peerExchange.js";
import type { PeerStream, PeerStreamObserver } from "./peerStream.js";
import { createPeerStream } from "./peerStream.js";

/** Time for streams and forwarded calls to end once the server closes. */
const closeTimeoutMs = 2_000;

export interface PeerServerOptions {
    readonly self: string;
    readonly credentials: ServerCredentials;
    readonly authenticator: Authenticator;
    readonly maxMessageBytes: number;
    readonly getObserver: (router: string) => PeerStreamObserver;
    /** Why a stream of the peer is refused, before it is opened, so that the peer backs off; undefined accepts it. */
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
    const server = new Server(makeServerOptions(opts.maxMessageBytes));

    const acceptStream = (call: ServerDuplexStream<Buffer, Buffer>): void => {
        const result = authenticator.verifyCall("exchange", call.metadata);
        call.on("error", () => undefined);
        if (result.type === "refused") {
            opts.onProblem("", `A peer at ${call.getPeer()} was refused: ${result.reason}`);
            call.emit("error", makeStatusError(status.UNAUTHENTICATED, result.reason));
            return;
        }
        const { peer, nonce } = result;
        const refusal = opts.findRefusal(peer);
        if (refusal !== undefined) {
            call.emit("error", makeStatusError(status.ABORTED, refusal));
            return;
        }
        const destroyCall = () => call.emit("error", makeStatusError(status.ABORTED, "superseded"));
        const observer = opts.getObserver(peer.router);
        const stream = createPeerStream({ call, peer, openedBy: peer.router, observer, destroyCall });
        let ended = false;
        call.on("end", () => {
            ended = true;
            stream.end();
        });
        call.on("cancelled", () => stream.close(false));
        call.on("close", () => stream.close(ended));
        call.sendMetadata(authenticator.signAnswer("exchange", peer.router, nonce));
        opts.onStream(stream);
    };

    const answerForward = (call: ServerUnaryCall<Buffer, Buffer>, callback: sendUnaryData<Buffer>): void => {
        const result = authenticator.verifyCall("forward", call.metadata);
        if (result.type === "refused") {
            opts.onProblem("", `A forwarded call from ${call.getPeer()} was refused: ${result.reason}`);
            callback(makeStatusError(status.UNAUTHENTICATED, result.reason));
            return;
        }
        const decoded = decodeForwardedCall(call.request);
        if (decoded.type === "malformed" || decoded.value.forwardedBy !== result.peer.router) {
            const reason = decoded.type === "malformed" ? decoded.problem : "the sender differs from the peer";
            opts.onProblem(result.peer.router, `A forwarded call was refused: ${reason}`);
            callback(makeStatusError(status.INVALID_ARGUMENT, reason));
            return;
        }
        opts.onForwardedCall(decoded.value).then(answer => {
            call.sendMetadata(authenticator.signAnswer("forward", result.peer.router, result.nonce));
            callback(undefined as never, encodeForwardedAnswer(answer));
        }).catch((error: unknown) => {
            opts.onProblem(result.peer.router, `A forwarded call failed: ${String(error)}`);
            callback(makeStatusError(status.INTERNAL, "the call failed"));
        });
    };

    server.addService(peerExchange, { exchange: acceptStream, forwardCall: answerForward });

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

function makeStatusError(code: status, details: string): Error & { code: status; details: string; } {
    return Object.assign(new Error(details), { code, details });
}
