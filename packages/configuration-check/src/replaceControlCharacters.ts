/** Replaces control characters, which could otherwise send escape sequences to the operator's terminal. */
export function replaceControlCharacters(text: string): string {
    // eslint-disable-next-line no-control-regex -- these are the characters to replace
    return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, "?");
}
