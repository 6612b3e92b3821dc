/**
 * Tracks the store revision up to which this router holds every change. Changes may arrive out of order: a range that
 * begins beyond a gap counts once the gap is closed.
 */
import { maxRevisionRanges } from "./configurationSettings.js";

export interface RevisionRanges {
    /** Records that every change after `from` up to `to` is held; returns the greatest complete revision. */
    readonly add: (from: number, to: number) => number;
}

export function createRevisionRanges(): RevisionRanges {
    let complete = 0;
    let pending: { readonly from: number; readonly to: number; }[] = [];

    const add = (from: number, to: number): number => {
        if (to > complete) pending.push({ from, to });
        pending.sort((left, right) => left.from - right.from);
        for (const range of pending)
            if (range.from <= complete) complete = Math.max(complete, range.to);
        pending = pending.filter(range => range.to > complete).slice(0, maxRevisionRanges);
        return complete;
    };

    return { add };
}
