/** The client side of the connection to one address: opens the stream and forwards calls. */
import type { ChannelCredentials, ServiceError } from "@grpc/grpc-js";
import { Client, connectivityState, status } from "@grpc/grpc-js";
import type { ForwardedCall, ForwardResult } from "@rhubarbwheel/types/ports";
import type { Authenticator } from "./authentication.js";
import { decodeForwardedAnswer, encodeForwardedCall } from "./peerCodec.js";
import { formatTarget, makeClientOptions, peerExchange } from "./peerExchange.js";
import type { PeerStream, PeerStreamObserver } from "./peerStream.js";
import { createPeerStream } from "./peerStream.js";

/** Routers are a few milliseconds apart; a connection that takes longer is of no use to a call that waits for it. */
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
    let uses = 0;

    /** Resolves with a client whose connection is up. A failed client is closed, so the next use connects at once. */
    const connect = async (): Promise<Client | undefined> => {
        const target = formatTarget(address);
        if (target === undefined) return undefined;
        client ??= new Client(target, opts.credentials, makeClientOptions(opts.maxMessageBytes));
        const connecting = client;
        if (await waitForConnection(connecting, Date.now() + connectTimeoutMs)) return connecting;
        connecting.close();
        if (client === connecting) client = undefined;
        return undefined;
    };

    const startStream = (connected: Client, router: string, observer: PeerStreamObserver) =>
        new Promise<PeerStream | undefined>(resolve => {
            const { metadata, nonce } = authenticator.signCall("exchange", router);
            const { path, requestSerialize, responseDeserialize } = peerExchange.exchange;
            const call = connected.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, metadata);
            let close: (clean: boolean) => void = () => resolve(undefined);
            const timer = setTimeout(() => call.cancel(), connectTimeoutMs);
            call.once("metadata", answer => {
                clearTimeout(timer);
                const result = authenticator.verifyAnswer("exchange", router, nonce, answer);
                if (result.type === "refused") {
                    opts.onProblem(router, `The peer at ${address} was refused: ${result.reason}`);
                    call.cancel();
                    return;
                }
                const destroyCall = () => call.cancel();
                const stream = createPeerStream({
                    call,
                    peer: result.peer,
                    openedBy: opts.self,
                    observer,
                    destroyCall,
                });
                close = stream.close;
                call.on("end", stream.end);
                resolve(stream);
            });
            call.on("error", (error: ServiceError) => {
                if (refusalCodes.includes(error.code))
                    opts.onProblem(router, `The peer at ${address} refused this router: ${error.details}`);
            });
            call.on("status", result => {
                clearTimeout(timer);
                uses -= 1;
                close(result.code === status.OK);
            });
            uses += 1;
        });

    const runForward = (connected: Client, router: string, call: ForwardedCall) =>
        new Promise<ForwardResult>(resolve => {
            const { metadata, nonce } = authenticator.signCall("forward", router);
            const { path, requestSerialize, responseDeserialize } = peerExchange.forwardCall;
            const deadline = Date.now() + opts.forwardTimeoutMs;
            let authentic = false;
            const request = connected.makeUnaryRequest(
                path,
                requestSerialize,
                responseDeserialize,
                encodeForwardedCall(call),
                metadata,
                { deadline },
                (_error, answer) => {
                    uses -= 1;
                    const decoded = answer && authentic ? decodeForwardedAnswer(answer) : undefined;
                    resolve(
                        decoded?.type === "decoded"
                            ? { type: "answered", answer: decoded.value }
                            : { type: "broken" },
                    );
                },
            );
            request.on("metadata", answer => {
                authentic = authenticator.verifyAnswer("forward", router, nonce, answer).type === "authenticated";
            });
            uses += 1;
        });

    /** Resolves with undefined when there is no connection or `start` throws; nothing has been sent then. */
    const useConnection = async <T>(start: (connected: Client) => Promise<T>, router: string) => {
        uses += 1;
        try {
            const connected = await connect();
            return connected === undefined ? undefined : await start(connected);
        }
        catch (error) {
            opts.onProblem(router, `A call to ${address} could not be started: ${String(error)}`);
            return undefined;
        }
        finally {
            uses -= 1;
        }
    };

    return {
        openStream: (router, observer) => useConnection(connected => startStream(connected, router, observer), router),
        forwardCall: async (router, call) => {
            // Once the call has been started, it can't be shown that no byte of it was sent.
            const result = await useConnection(connected => runForward(connected, router, call), router);
            return result ?? { type: "unreachable" };
        },
        isInUse: () => uses > 0,
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
