/** Messages by which a router that cannot reach the store confirms its configuration with other routers. */

/** Asks another router for its configuration version and the age of the store's last confirmation. */
export interface ConfirmationRequestMessage {
    readonly type: "confirmationAsk";
    /** Echoed in the reply; unique among the requests of one process. */
    readonly sequence: number;
}

export interface ConfirmationReplyMessage {
    readonly type: "confirmationReply";
    readonly sequence: number;
    readonly configurationVersion: number;
    /** Time in ms, at the sending of the reply, since the store confirmed that this is the newest version. */
    readonly ageMs: number;
}
