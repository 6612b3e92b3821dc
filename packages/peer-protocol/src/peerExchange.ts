/** gRPC definitions of the service between routers; messages pass as bytes and are decoded by `peerCodec`. */
import type { ChannelOptions, ServiceDefinition } from "@grpc/grpc-js";
import { isIP } from "node:net";

const keepBytes = (bytes: Buffer): Buffer => bytes;

const codec = {
    requestSerialize: keepBytes,
    requestDeserialize: keepBytes,
    responseSerialize: keepBytes,
    responseDeserialize: keepBytes,
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

/** A peer that answers no ping for this long after the last sign of life is unreachable. */
const keepalive = { "grpc.keepalive_time_ms": 3_000, "grpc.keepalive_timeout_ms": 2_000 };

/** Connections without a call are closed, so that strangers can't hold sockets open for long. */
const serverIdleMs = 120_000;

function makeCommonOptions(maxMessageBytes: number): ChannelOptions {
    return { ...keepalive, "grpc.max_receive_message_length": maxMessageBytes, "grpc.max_send_message_length": -1 };
}

export function makeServerOptions(maxMessageBytes: number): ChannelOptions {
    return { ...makeCommonOptions(maxMessageBytes), "grpc.max_connection_idle_ms": serverIdleMs };
}

/** No retries, proxies, service configuration or shared connections: a call goes to one address, once. */
export function makeClientOptions(maxMessageBytes: number): ChannelOptions {
    return {
        ...makeCommonOptions(maxMessageBytes),
        "grpc.enable_retries": 0,
        "grpc.enable_http_proxy": 0,
        "grpc.service_config_disable_resolution": 1,
        "grpc.use_local_subchannel_pool": 1,
    };
}

/** Target of a channel for `ip:port` or `[ip]:port`; undefined for anything that would need name resolution. */
export function formatTarget(address: string): string | undefined {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
    const ip = match?.[1] ?? match?.[2] ?? "";
    const port = Number(match?.[3] ?? 0);
    if (port < 1 || port > 65_535) return undefined;
    if (isIP(ip) === 4) return `ipv4:${ip}:${port}`;
    return isIP(ip) === 6 ? `ipv6:[${ip}]:${port}` : undefined;
}
