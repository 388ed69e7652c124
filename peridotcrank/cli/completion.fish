# Completion of peridotcrank for fish:  peridotcrank completion fish | source
function __peridotcrank_complete
    set -l words (commandline -opc) (commandline -ct)
    env GO_FLAGS_COMPLETION=1 $words 2>/dev/null
end
complete -c peridotcrank -a '(__peridotcrank_complete)'
