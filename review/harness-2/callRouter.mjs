/** Sends calls as a client does, and tells what it saw. */
import { Buffer } from "node:buffer";
import { connect } from "node:net";

/** Formats a request with the headers that a client sends. */
export function formatCall({ method = "GET", path, id, headers = {}, body = "" }) {
    const lines = Object.entries({
        Host: "calls.example",
        "Attempt-Id": id,
        "Deadline-Ms": "15000",
        ...(body === "" && method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
    }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return `${method} ${path} HTTP/1.1\r\n${lines}\r\n${body}`;
}

function parseHead(bytes) {
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) return undefined;
    const [statusLine, ...headerLines] = bytes.subarray(0, end).toString("latin1").split("\r\n");
    const headers = {};
    for (const line of headerLines) {
        const colon = line.indexOf(":");
        headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    return { status: Number(statusLine.split(" ")[1]), headers, rest: bytes.subarray(end + 4) };
}

function parseChunks(bytes) {
    const parts = [];
    for (let offset = 0;;) {
        const lineEnd = bytes.indexOf("\r\n", offset);
        const size = lineEnd < 0 ? NaN : parseInt(bytes.subarray(offset, lineEnd).toString("latin1"), 16);
        const start = lineEnd + 2;
        if (Number.isNaN(size)) return { body: Buffer.concat(parts), isComplete: false };
        parts.push(bytes.subarray(start, start + size));
        if (bytes.length < start + size + 2) return { body: Buffer.concat(parts), isComplete: false };
        if (size === 0) return { body: Buffer.concat(parts), isComplete: true, length: start + 2 };
        offset = start + size + 2;
    }
}

/** Parses the first response, which is complete by its length or its last chunk; `length` is that of all its bytes. */
export function parseResponse(bytes) {
    const head = parseHead(bytes);
    if (head === undefined) return { status: undefined, headers: {}, body: Buffer.alloc(0), isComplete: false };
    const { status, headers, rest } = head;
    const headLength = bytes.length - rest.length;
    if (headers["transfer-encoding"] === "chunked") {
        const { length = Infinity, ...parsed } = parseChunks(rest);
        return { status, headers, ...parsed, length: headLength + length };
    }
    const bodyLength = Number(headers["content-length"] ?? Infinity);
    const body = rest.subarray(0, bodyLength);
    return { status, headers, body, isComplete: rest.length >= bodyLength, length: headLength + bodyLength };
}

function openSocket(address) {
    const [host, port] = address.split(":");
    return connect({ host, port: Number(port) });
}

/** Reads what has arrived, then nothing for some milliseconds. */
export function readSlowly(socket) {
    const pauseMs = 5;
    socket.on("data", () => {
        socket.pause();
        setTimeout(() => socket.resume(), pauseMs);
    });
}

/** Sends one call on a new connection, and reads until that ends. The result is what the caller saw. */
export function call(address, opts) {
    const socket = openSocket(address);
    const chunks = [];
    let error;
    return new Promise(resolve => {
        socket.once("connect", () => {
            socket.write(formatCall(opts));
            opts.read?.(socket);
        });
        socket.on("data", chunk => chunks.push(chunk));
        socket.on("error", found => (error = found.code));
        socket.once("close", () => resolve({ ...parseResponse(Buffer.concat(chunks)), error }));
        if (opts.timeoutMs === undefined) return;
        setTimeout(() => {
            error ??= "TIMEOUT";
            socket.destroy();
        }, opts.timeoutMs).unref();
    });
}

/** Opens a connection on which one call is sent after the other. */
export async function openKeptConnection(address) {
    const socket = openSocket(address);
    let received = Buffer.alloc(0);
    let onChange = () => undefined;
    let error;
    socket.on("data", chunk => {
        received = Buffer.concat([received, chunk]);
        onChange();
    });
    socket.on("error", found => (error = found.code));
    socket.on("close", () => onChange());
    await new Promise(resolve => {
        socket.once("connect", resolve);
        socket.once("close", resolve);
    });
    const send = opts =>
        new Promise(resolve => {
            received = Buffer.alloc(0);
            onChange = () => {
                const response = parseResponse(received);
                if (response.isComplete || socket.destroyed) resolve({ ...response, error });
            };
            if (socket.destroyed) return onChange();
            socket.write(formatCall(opts));
        });
    return { send, close: () => socket.destroy() };
}
