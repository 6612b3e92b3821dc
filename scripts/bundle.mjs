/**
 * Bundles the router for the platform. A single file starts faster and uses less memory than many modules, and its V8
 * code cache avoids compilation at each start. Run this script with the flags of `deploy/system.toml`: V8 rejects a
 * code cache that was created with other flags.
 */
import { build } from "esbuild";
import { resolve } from "node:path";
import { writeCodeCache } from "../platform/lib/src/runWithCodeCache.js";

/** The main file of ts-results is a UMD module whose requires no bundler can resolve, so its ES modules are bundled. */
const tsResultsPlugin = {
    name: "bundle-results",
    setup: ({ onLoad }) =>
        onLoad({ filter: /ts-results[/\\]index\.js$/ }, () => ({
            contents:
                "import * as all from \"./esm/index.js\";\nexport default all;\nexport * from \"./esm/index.js\";",
        })),
};

const bundles = [
    { entry: "platform/src/runPlatformRouter.ts", outfile: "target/router.cjs" },
    { entry: "platform/src/startWithCodeCache.ts", outfile: "target/rhubarbwheel-platform.cjs" },
];

for (const { entry, outfile } of bundles) {
    await build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        plugins: [tsResultsPlugin],
    });
}
writeCodeCache(resolve("target/router.cjs"));
