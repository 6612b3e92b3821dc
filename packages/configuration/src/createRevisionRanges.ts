/**
 * Follows up to which store revision every change is held. Changes may arrive out of order: a range that begins beyond a
 * gap counts once the gap is closed.
 */
import { maxRevisionRanges } from "./configurationSettings.js";

export interface RevisionRanges {
    /** Records that every change after `from` and up to `to` is held; returns the revision that is now complete. */
    readonly add: (from: number, to: number) => number;
}

export function createRevisionRanges(): RevisionRanges {
    let complete = 0;
    let ahead: { readonly from: number; readonly to: number; }[] = [];

    const add = (from: number, to: number): number => {
        if (to > complete) ahead.push({ from, to });
        ahead.sort((left, right) => left.from - right.from);
        for (const range of ahead)
            if (range.from <= complete) complete = Math.max(complete, range.to);
        ahead = ahead.filter(range => range.to > complete).slice(0, maxRevisionRanges);
        return complete;
    };

    return { add };
}
