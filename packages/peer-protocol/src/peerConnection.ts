/** gRPC client for one address: opens streams and forwards calls. */
import type { ChannelCredentials, ServiceError } from "@grpc/grpc-js";
import { Client, connectivityState, status } from "@grpc/grpc-js";
import type { ForwardedCall, ForwardResult } from "@rhubarbwheel/types/ports";
import type { Authenticator } from "./authentication.js";
import { decodeForwardedResponse, encodeForwardedCall } from "./peerCodec.js";
import { createClientOptions, formatChannelTarget, peerExchange } from "./peerExchange.js";
import type { PeerStream, PeerStreamObserver } from "./peerStream.js";
import { createPeerStream } from "./peerStream.js";

/** The latency between routers is a few milliseconds; a slower connection is of no use to a call that waits for it. */
const connectTimeoutMs = 1_000;

const refusalCodes = [status.UNAUTHENTICATED, status.ABORTED];

export interface PeerConnectionOptions {
    readonly address: string;
    readonly self: string;
    readonly credentials: ChannelCredentials;
    readonly authenticator: Authenticator;
    readonly maxMessageBytes: number;
    readonly forwardTimeoutMs: number;
    readonly onProblem: (router: string, problem: string) => void;
}

export interface PeerConnection {
    readonly openStream: (router: string, observer: PeerStreamObserver) => Promise<PeerStream | undefined>;
    readonly forwardCall: (router: string, call: ForwardedCall) => Promise<ForwardResult>;
    readonly isInUse: () => boolean;
    readonly close: () => void;
}

export function createPeerConnection(opts: PeerConnectionOptions): PeerConnection {
    const { address, authenticator } = opts;
    let client: Client | undefined;
    let useCount = 0;

    /** Resolves with a connected client. A failed client is closed, so that the next use reconnects immediately. */
    const connect = async (): Promise<Client | undefined> => {
        const channelTarget = formatChannelTarget(address);
        if (channelTarget === undefined) return undefined;
        client ??= new Client(channelTarget, opts.credentials, createClientOptions(opts.maxMessageBytes));
        const pendingClient = client;
        if (await waitForConnection(pendingClient, Date.now() + connectTimeoutMs)) return pendingClient;
        pendingClient.close();
        if (client === pendingClient) client = undefined;
        return undefined;
    };

    const startStream = (connectedClient: Client, router: string, observer: PeerStreamObserver) =>
        new Promise<PeerStream | undefined>(resolve => {
            const { metadata, nonce } = authenticator.signRequest("exchange", router);
            const { path, requestSerialize, responseDeserialize } = peerExchange.exchange;
            const grpcStream = connectedClient.makeBidiStreamRequest(
                path,
                requestSerialize,
                responseDeserialize,
                metadata,
            );
            let close: (clean: boolean) => void = () => resolve(undefined);
            const timer = setTimeout(() => grpcStream.cancel(), connectTimeoutMs);
            grpcStream.once("metadata", replyMetadata => {
                clearTimeout(timer);
                const result = authenticator.verifyReply("exchange", router, nonce, replyMetadata);
                if (result.type === "refused") {
                    opts.onProblem(router, `The peer at ${address} was refused: ${result.reason}`);
                    grpcStream.cancel();
                    return;
                }
                const abortGrpcStream = () => grpcStream.cancel();
                const stream = createPeerStream({
                    grpcStream,
                    peer: result.peer,
                    openedBy: opts.self,
                    observer,
                    abortGrpcStream,
                });
                close = stream.close;
                grpcStream.on("end", stream.end);
                resolve(stream);
            });
            grpcStream.on("error", (error: ServiceError) => {
                if (refusalCodes.includes(error.code))
                    opts.onProblem(router, `The peer at ${address} refused this router: ${error.details}`);
            });
            grpcStream.on("status", result => {
                clearTimeout(timer);
                useCount -= 1;
                close(result.code === status.OK);
            });
            useCount += 1;
        });

    const sendForwardedCall = (connectedClient: Client, router: string, call: ForwardedCall) =>
        new Promise<ForwardResult>(resolve => {
            const { metadata, nonce } = authenticator.signRequest("forward", router);
            const { path, requestSerialize, responseDeserialize } = peerExchange.forwardCall;
            const deadline = Date.now() + opts.forwardTimeoutMs;
            let isAuthenticated = false;
            const unaryCall = connectedClient.makeUnaryRequest(
                path,
                requestSerialize,
                responseDeserialize,
                encodeForwardedCall(call),
                metadata,
                { deadline },
                (_error, reply) => {
                    useCount -= 1;
                    const decoded = reply && isAuthenticated ? decodeForwardedResponse(reply) : undefined;
                    resolve(
                        decoded?.type === "decoded"
                            ? { type: "answered", response: decoded.value }
                            : { type: "broken" },
                    );
                },
            );
            unaryCall.on("metadata", replyMetadata => {
                isAuthenticated =
                    authenticator.verifyReply("forward", router, nonce, replyMetadata).type === "authenticated";
            });
            useCount += 1;
        });

    /** Resolves with undefined if there is no connection or `start` throws; nothing has been sent then. */
    const withConnection = async <T>(start: (connectedClient: Client) => Promise<T>, router: string) => {
        useCount += 1;
        try {
            const connectedClient = await connect();
            return connectedClient === undefined ? undefined : await start(connectedClient);
        }
        catch (error) {
            opts.onProblem(router, `A request to ${address} could not be started: ${String(error)}`);
            return undefined;
        }
        finally {
            useCount -= 1;
        }
    };

    return {
        openStream: (router, observer) => withConnection(connected => startStream(connected, router, observer), router),
        forwardCall: async (router, call) => {
            // After the call has been started, it is unknown whether any byte of it was sent.
            const result = await withConnection(connected => sendForwardedCall(connected, router, call), router);
            return result ?? { type: "unreachable" };
        },
        isInUse: () => useCount > 0,
        close: () => client?.close(),
    };
}

const failedStates = [connectivityState.TRANSIENT_FAILURE, connectivityState.SHUTDOWN];

function waitForConnection(client: Client, deadline: number): Promise<boolean> {
    const channel = client.getChannel();
    return new Promise(resolve => {
        const check = (): void => {
            const state = channel.getConnectivityState(true);
            if (state === connectivityState.READY) return resolve(true);
            if (failedStates.includes(state)) return resolve(false);
            channel.watchConnectivityState(state, deadline, error => error === undefined ? check() : resolve(false));
        };
        check();
    });
}
