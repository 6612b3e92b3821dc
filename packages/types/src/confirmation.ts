/** Messages by which routers confirm their configuration for each other while the store turns some of them away. */

/** Asks another router which configuration it holds, and when the store last confirmed that. */
export interface ConfirmationAskMessage {
    readonly type: "confirmationAsk";
    /** Repeated in the reply; unique among the questions of one process. */
    readonly sequence: number;
}

export interface ConfirmationReplyMessage {
    readonly type: "confirmationReply";
    readonly sequence: number;
    readonly configurationVersion: number;
    /** Time since the store confirmed that this is the newest version, in ms, when the reply was sent. */
    readonly ageMs: number;
}
