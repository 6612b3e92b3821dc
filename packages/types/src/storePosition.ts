/** Places in the history of the platform's store, which may come back from an older copy. */

export interface StorePosition {
    /** Rises by one each time the store comes back from an older copy. */
    readonly era: number;
    /** Grows with each change within an era; a later era gives the revisions after its copy out again. */
    readonly revision: number;
}

/** Whether `left` is later in the history of the store; anything is later than `undefined`. */
export function isLaterPosition(left: StorePosition, right: StorePosition | undefined): boolean {
    if (right === undefined) return true;
    return left.era === right.era ? left.revision > right.revision : left.era > right.era;
}
