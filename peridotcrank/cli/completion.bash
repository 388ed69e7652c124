# Completion of peridotcrank for bash:  source <(peridotcrank completion bash)
_peridotcrank() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:COMP_CWORD}" 2>/dev/null))
}
complete -o default -F _peridotcrank peridotcrank
