import eslint from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/lib/**", "target/**", "**/node_modules/**", "**/generated/**"] },
    eslint.configs.recommended,
    ...tseslint.configs.recommended,
    ...tseslint.configs.stylistic,
    {
        // The compiler reports undefined names in TypeScript files; scripts need the Node.js globals declared.
        files: ["**/*.mjs"],
        languageOptions: {
            globals: { console: "readonly", process: "readonly", setTimeout: "readonly", clearTimeout: "readonly" },
        },
    },
    {
        rules: {
            "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "function", format: ["camelCase"] },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            eqeqeq: "error",
            "max-lines": ["error", { max: 330, skipBlankLines: false, skipComments: false }],
            "max-lines-per-function": ["error", { max: 320 }],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[value=null][raw='null']", message: "Use undefined instead of null." },
            ],
            "no-var": "error",
            "prefer-const": "error",
        },
    },
);
