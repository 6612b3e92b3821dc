/** Decisions of a coordinator about one request. */
import type { PlacementReplyMessage, RefusalReason } from "@rhubarbwheel/types/placement";
import type { Choice } from "./createPoolModel.js";

/** A choice, and the fraction of its share that the workspace had used. */
export type AdmittedChoice = Choice & Pick<PlacementReplyMessage, "usedRatio">;

/** Reason for a refusal, and the figures behind it. */
export type Refusal = Pick<PlacementReplyMessage, "waitMs" | "maxWaitMs" | "usedRatio" | "retryAfterMs"> & {
    readonly refusal: RefusalReason;
};
