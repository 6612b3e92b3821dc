/**
 * Bundles the router for the platform: one file starts faster and takes less memory than many, and its code cache spares the
 * compiling at each start. Run it with the flags of `deploy/system.toml`, or the cache does not fit.
 */
import { build } from "esbuild";
import { resolve } from "node:path";
import { writeCache } from "../platform/lib/src/runFromCache.js";

/** The main file of ts-results loads its parts in a way that no bundler can follow; its ES modules can be bundled. */
const bundleResults = {
    name: "bundle-results",
    setup: ({ onLoad }) =>
        onLoad({ filter: /ts-results[/\\]index\.js$/ }, () => ({
            contents:
                "import * as all from \"./esm/index.js\";\nexport default all;\nexport * from \"./esm/index.js\";",
        })),
};

const bundles = [
    { entry: "platform/src/runPlatformRouter.ts", outfile: "target/router.cjs" },
    { entry: "platform/src/startFromCache.ts", outfile: "target/rhubarbwheel-platform.cjs" },
];

for (const { entry, outfile } of bundles) {
    await build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        plugins: [bundleResults],
    });
}
writeCache(resolve("target/router.cjs"));
