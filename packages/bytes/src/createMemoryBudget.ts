/** Memory budget of the process for bytes that others send, with a limit for each owner. */

/** Bytes that one holder has reserved. */
export interface MemoryReservation {
    /**
     * Sets the number of reserved bytes. Returns false, and changes nothing, if it grows beyond what the budget or the
     * owner's limit allows.
     */
    readonly trySet: (bytes: number) => boolean;
    /** Releases everything; further calls have no effect, and no bytes can be reserved any more. */
    readonly release: () => void;
}

export interface MemoryBudget {
    /** `owner` is who sent the bytes, such as a target; the reservations of all holders count toward its limit. */
    readonly open: (owner: string) => MemoryReservation;
    readonly countReservedBytes: () => number;
}

export interface MemoryBudgetOptions {
    readonly maxBytes: number;
    /** Maximum for all reservations of one owner, in bytes. */
    readonly getMaxOwnerBytes: (owner: string) => number;
}

export function createMemoryBudget(opts: MemoryBudgetOptions): MemoryBudget {
    const bytesByOwner = new Map<string, number>();
    let reservedBytes = 0;

    const open = (owner: string): MemoryReservation => {
        let ownBytes = 0;
        let isReleased = false;
        const update = (bytes: number): void => {
            const ownerBytes = (bytesByOwner.get(owner) ?? 0) + bytes - ownBytes;
            if (ownerBytes > 0) bytesByOwner.set(owner, ownerBytes);
            else bytesByOwner.delete(owner);
            reservedBytes += bytes - ownBytes;
            ownBytes = bytes;
        };
        return {
            trySet: bytes => {
                const addedBytes = bytes - ownBytes;
                if (addedBytes === 0) return true;
                const ownerBytes = (bytesByOwner.get(owner) ?? 0) + addedBytes;
                const isWithinLimits = reservedBytes + addedBytes <= opts.maxBytes
                    && ownerBytes <= opts.getMaxOwnerBytes(owner);
                if (isReleased || (addedBytes > 0 && !isWithinLimits)) return false;
                update(bytes);
                return true;
            },
            release: () => {
                if (!isReleased) update(0);
                isReleased = true;
            },
        };
    };

    return { open, countReservedBytes: () => reservedBytes };
}
