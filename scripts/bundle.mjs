/** Bundles the router for the platform into one file, which starts faster and takes less memory than many. */
import { build } from "esbuild";

/** The main file of ts-results loads its parts in a way that no bundler can follow; its ES modules can be bundled. */
const bundleResults = {
    name: "bundle-results",
    setup: ({ onLoad }) =>
        onLoad({ filter: /ts-results[/\\]index\.js$/ }, () => ({
            contents:
                "import * as all from \"./esm/index.js\";\nexport default all;\nexport * from \"./esm/index.js\";",
        })),
};

await build({
    entryPoints: ["platform/src/runPlatformRouter.ts"],
    outfile: "target/rhubarbwheel-platform.mjs",
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    plugins: [bundleResults],
    // CommonJS packages that are bundled into an ES module still ask for Node's modules by `require`.
    banner: {
        js: "import { createRequire as createBundleRequire } from \"node:module\";\n"
            + "const require = createBundleRequire(import.meta.url);",
    },
});
