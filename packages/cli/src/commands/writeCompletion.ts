/** `completion bash`: prints a script that completes commands, kinds and names of resources. */
import { resourceKinds } from "@rhubarbwheel/configuration-check/parseEntries";
import { createUsageError } from "../cliError.js";

const renderBashScript = (commands: readonly string[]) =>
    `# Load with: source <(rhubarbwheel completion bash)
_rhubarbwheel() {
    local current="\${COMP_WORDS[COMP_CWORD]}" previous="\${COMP_WORDS[COMP_CWORD-1]}" command="\${COMP_WORDS[1]}"
    local choices=""
    COMPREPLY=()
    case "$previous" in
        -f|--file|--token-file|--against|check)
            mapfile -t COMPREPLY < <(compgen -f -- "$current")
            return ;;
        -o|--output) choices="json table names" ;;
    esac
    if [[ -z "$choices" ]]; then
        if [[ "$current" == -* ]]; then
            choices="--router --token-file --output --against --help --file --wait --timeout"
        elif (( COMP_CWORD == 1 )); then
            choices="${commands.join(" ")}"
        elif (( COMP_CWORD == 2 )); then
            case "$command" in
                get|list|watch|delete) choices="${resourceKinds.join(" ")}" ;;
                completion) choices="bash" ;;
            esac
        elif (( COMP_CWORD == 3 )) && [[ "$command" == get || "$command" == delete ]]; then
            choices="$(rhubarbwheel list "$previous" --output names 2>/dev/null)"
        fi
    fi
    mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$current")
}
complete -F _rhubarbwheel rhubarbwheel
`;

export function writeCompletion(
    positionals: readonly string[],
    commands: readonly string[],
    writeOutput: (text: string) => void,
): void {
    if (positionals.length !== 1 || positionals[0] !== "bash")
        throw createUsageError("Name the shell: completion bash.");
    writeOutput(renderBashScript(commands));
}
