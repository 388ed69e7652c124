#compdef peridotcrank
# Completion of peridotcrank for zsh:  source <(peridotcrank completion zsh)
_peridotcrank() {
    local -a items
    items=("${(@f)$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,$CURRENT]}" 2>/dev/null)}")
    compadd -- "${(@)items:#}"
}
compdef _peridotcrank peridotcrank
