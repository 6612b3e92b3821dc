import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const resolution = 2 ** 30;

/** Creates a seeded source of random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformInt(generator, 0, resolution - 1) / resolution;
}
