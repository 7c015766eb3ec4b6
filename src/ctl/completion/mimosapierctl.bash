# Bash completion for mimosapierctl; install as /usr/share/bash-completion/completions/mimosapierctl.
_mimosapierctl()
{
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    local general="--address --key-file --as --json --help"
    case $previous in
    --key-file | --file | --html | --log | --against | draft | check)
        COMPREPLY=($(compgen -f -- "$current"))
        return
        ;;
    bundle) COMPREPLY=($(compgen -W "draft sign show diff drafts status" -- "$current")); return ;;
    team) COMPREPLY=($(compgen -W "add remove" -- "$current")); return ;;
    key) COMPREPLY=($(compgen -W "grant withdraw" -- "$current")); return ;;
    config) COMPREPLY=($(compgen -W "check" -- "$current")); return ;;
    zone) COMPREPLY=($(compgen -W "evacuate restore list" -- "$current")); return ;;
    policy) COMPREPLY=($(compgen -W "waiting packing crossing" -- "$current")); return ;;
    esac
    local word options=$general command=
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $word in
        submit) command=1 options+=" --team --class --id --attempt --region --queue --tasks --milli-cpus --memory-mb --accelerators --run-ms --deadline-ms --payload --once --wait --wait-ms" ;;
        wait) command=1 options+=" --team --wait-ms" ;;
        explain | cancel | status) command=1 options+=" --team" ;;
        sign) command=1 options+=" --base" ;;
        diff) command=1 options+=" --file" ;;
        grant | withdraw) command=1 options+=" --hash --key-from-input" ;;
        add) command=1 options+=" --share --limit --home-region" ;;
        report) command=1 options+=" --html" ;;
        trace) command=1 options+=" --log" ;;
        check) command=1 options+=" --against" ;;
        evacuate | restore | list) command=1 options+=" --store" ;;
        bundle | team | key | zone | share | limit | policy | instances | config) command=1 ;;
        esac
    done
    if [[ -z $command ]]; then
        options+=" submit status wait explain cancel bundle team key share limit policy instances report trace config zone"
    fi
    COMPREPLY=($(compgen -W "$options" -- "$current"))
}
complete -F _mimosapierctl mimosapierctl
