/** gRPC service definition and channel options; messages are passed as bytes and decoded by `peerCodec`. */
import type { ChannelOptions, ServiceDefinition } from "@grpc/grpc-js";
import { isIP } from "node:net";

const returnBytes = (bytes: Buffer): Buffer => bytes;

const codec = {
    requestSerialize: returnBytes,
    requestDeserialize: returnBytes,
    responseSerialize: returnBytes,
    responseDeserialize: returnBytes,
};

export const peerExchange = {
    exchange: { path: "/rhubarbwheel.peer.PeerExchange/Exchange", requestStream: true, responseStream: true, ...codec },
    forwardCall: {
        path: "/rhubarbwheel.peer.PeerExchange/ForwardCall",
        requestStream: false,
        responseStream: false,
        ...codec,
    },
} as const satisfies ServiceDefinition;

/** Detects unreachable peers: a peer is pinged every 3 s and must respond within 2 s. */
const keepalive = { "grpc.keepalive_time_ms": 3_000, "grpc.keepalive_timeout_ms": 2_000 };

/** Idle connections are closed, so that unauthenticated peers cannot occupy sockets for long. */
const serverIdleTimeoutMs = 120_000;

function createCommonOptions(maxMessageBytes: number): ChannelOptions {
    return { ...keepalive, "grpc.max_receive_message_length": maxMessageBytes, "grpc.max_send_message_length": -1 };
}

export function createServerOptions(maxMessageBytes: number): ChannelOptions {
    return { ...createCommonOptions(maxMessageBytes), "grpc.max_connection_idle_ms": serverIdleTimeoutMs };
}

/** No retries, proxies, service configuration or shared connections: a request is sent to one address, once. */
export function createClientOptions(maxMessageBytes: number): ChannelOptions {
    return {
        ...createCommonOptions(maxMessageBytes),
        "grpc.enable_retries": 0,
        "grpc.enable_http_proxy": 0,
        "grpc.service_config_disable_resolution": 1,
        "grpc.use_local_subchannel_pool": 1,
    };
}

/** gRPC channel target for `ip:port` or `[ip]:port`; undefined for addresses that would need name resolution. */
export function formatChannelTarget(address: string): string | undefined {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
    const ip = match?.[1] ?? match?.[2] ?? "";
    const port = Number(match?.[3] ?? 0);
    if (port < 1 || port > 65_535) return undefined;
    if (isIP(ip) === 4) return `ipv4:${ip}:${port}`;
    return isIP(ip) === 6 ? `ipv6:[${ip}]:${port}` : undefined;
}
