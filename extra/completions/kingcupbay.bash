_kingcupbay() {
    local i cur prev opts cmd
    COMPREPLY=()
    if [[ "${BASH_VERSINFO[0]}" -ge 4 ]]; then
        cur="$2"
    else
        cur="${COMP_WORDS[COMP_CWORD]}"
    fi
    prev="$3"
    cmd=""
    opts=""

    for i in "${COMP_WORDS[@]:0:COMP_CWORD}"
    do
        case "${cmd},${i}" in
            ",$1")
                cmd="kingcupbay"
                ;;
            kingcupbay,adapter)
                cmd="kingcupbay__subcmd__adapter"
                ;;
            kingcupbay,apply)
                cmd="kingcupbay__subcmd__apply"
                ;;
            kingcupbay,completions)
                cmd="kingcupbay__subcmd__completions"
                ;;
            kingcupbay,diff)
                cmd="kingcupbay__subcmd__diff"
                ;;
            kingcupbay,dump)
                cmd="kingcupbay__subcmd__dump"
                ;;
            kingcupbay,export)
                cmd="kingcupbay__subcmd__export"
                ;;
            kingcupbay,help)
                cmd="kingcupbay__subcmd__help"
                ;;
            kingcupbay,history)
                cmd="kingcupbay__subcmd__history"
                ;;
            kingcupbay,key)
                cmd="kingcupbay__subcmd__key"
                ;;
            kingcupbay,man)
                cmd="kingcupbay__subcmd__man"
                ;;
            kingcupbay,member)
                cmd="kingcupbay__subcmd__member"
                ;;
            kingcupbay,organisation)
                cmd="kingcupbay__subcmd__organisation"
                ;;
            kingcupbay,plan)
                cmd="kingcupbay__subcmd__plan"
                ;;
            kingcupbay,route)
                cmd="kingcupbay__subcmd__route"
                ;;
            kingcupbay,status)
                cmd="kingcupbay__subcmd__status"
                ;;
            kingcupbay,upstream)
                cmd="kingcupbay__subcmd__upstream"
                ;;
            kingcupbay,version)
                cmd="kingcupbay__subcmd__version"
                ;;
            kingcupbay__subcmd__adapter,help)
                cmd="kingcupbay__subcmd__adapter__subcmd__help"
                ;;
            kingcupbay__subcmd__adapter,list)
                cmd="kingcupbay__subcmd__adapter__subcmd__list"
                ;;
            kingcupbay__subcmd__adapter,remove)
                cmd="kingcupbay__subcmd__adapter__subcmd__remove"
                ;;
            kingcupbay__subcmd__adapter,set)
                cmd="kingcupbay__subcmd__adapter__subcmd__set"
                ;;
            kingcupbay__subcmd__adapter__subcmd__help,help)
                cmd="kingcupbay__subcmd__adapter__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__adapter__subcmd__help,list)
                cmd="kingcupbay__subcmd__adapter__subcmd__help__subcmd__list"
                ;;
            kingcupbay__subcmd__adapter__subcmd__help,remove)
                cmd="kingcupbay__subcmd__adapter__subcmd__help__subcmd__remove"
                ;;
            kingcupbay__subcmd__adapter__subcmd__help,set)
                cmd="kingcupbay__subcmd__adapter__subcmd__help__subcmd__set"
                ;;
            kingcupbay__subcmd__help,adapter)
                cmd="kingcupbay__subcmd__help__subcmd__adapter"
                ;;
            kingcupbay__subcmd__help,apply)
                cmd="kingcupbay__subcmd__help__subcmd__apply"
                ;;
            kingcupbay__subcmd__help,completions)
                cmd="kingcupbay__subcmd__help__subcmd__completions"
                ;;
            kingcupbay__subcmd__help,diff)
                cmd="kingcupbay__subcmd__help__subcmd__diff"
                ;;
            kingcupbay__subcmd__help,dump)
                cmd="kingcupbay__subcmd__help__subcmd__dump"
                ;;
            kingcupbay__subcmd__help,export)
                cmd="kingcupbay__subcmd__help__subcmd__export"
                ;;
            kingcupbay__subcmd__help,help)
                cmd="kingcupbay__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__help,history)
                cmd="kingcupbay__subcmd__help__subcmd__history"
                ;;
            kingcupbay__subcmd__help,key)
                cmd="kingcupbay__subcmd__help__subcmd__key"
                ;;
            kingcupbay__subcmd__help,man)
                cmd="kingcupbay__subcmd__help__subcmd__man"
                ;;
            kingcupbay__subcmd__help,member)
                cmd="kingcupbay__subcmd__help__subcmd__member"
                ;;
            kingcupbay__subcmd__help,organisation)
                cmd="kingcupbay__subcmd__help__subcmd__organisation"
                ;;
            kingcupbay__subcmd__help,plan)
                cmd="kingcupbay__subcmd__help__subcmd__plan"
                ;;
            kingcupbay__subcmd__help,route)
                cmd="kingcupbay__subcmd__help__subcmd__route"
                ;;
            kingcupbay__subcmd__help,status)
                cmd="kingcupbay__subcmd__help__subcmd__status"
                ;;
            kingcupbay__subcmd__help,upstream)
                cmd="kingcupbay__subcmd__help__subcmd__upstream"
                ;;
            kingcupbay__subcmd__help,version)
                cmd="kingcupbay__subcmd__help__subcmd__version"
                ;;
            kingcupbay__subcmd__help__subcmd__adapter,list)
                cmd="kingcupbay__subcmd__help__subcmd__adapter__subcmd__list"
                ;;
            kingcupbay__subcmd__help__subcmd__adapter,remove)
                cmd="kingcupbay__subcmd__help__subcmd__adapter__subcmd__remove"
                ;;
            kingcupbay__subcmd__help__subcmd__adapter,set)
                cmd="kingcupbay__subcmd__help__subcmd__adapter__subcmd__set"
                ;;
            kingcupbay__subcmd__help__subcmd__key,issue)
                cmd="kingcupbay__subcmd__help__subcmd__key__subcmd__issue"
                ;;
            kingcupbay__subcmd__help__subcmd__key,list)
                cmd="kingcupbay__subcmd__help__subcmd__key__subcmd__list"
                ;;
            kingcupbay__subcmd__help__subcmd__key,withdraw)
                cmd="kingcupbay__subcmd__help__subcmd__key__subcmd__withdraw"
                ;;
            kingcupbay__subcmd__help__subcmd__member,leave)
                cmd="kingcupbay__subcmd__help__subcmd__member__subcmd__leave"
                ;;
            kingcupbay__subcmd__help__subcmd__member,list)
                cmd="kingcupbay__subcmd__help__subcmd__member__subcmd__list"
                ;;
            kingcupbay__subcmd__help__subcmd__organisation,list)
                cmd="kingcupbay__subcmd__help__subcmd__organisation__subcmd__list"
                ;;
            kingcupbay__subcmd__help__subcmd__organisation,remove)
                cmd="kingcupbay__subcmd__help__subcmd__organisation__subcmd__remove"
                ;;
            kingcupbay__subcmd__help__subcmd__organisation,set)
                cmd="kingcupbay__subcmd__help__subcmd__organisation__subcmd__set"
                ;;
            kingcupbay__subcmd__help__subcmd__route,list)
                cmd="kingcupbay__subcmd__help__subcmd__route__subcmd__list"
                ;;
            kingcupbay__subcmd__help__subcmd__route,remove)
                cmd="kingcupbay__subcmd__help__subcmd__route__subcmd__remove"
                ;;
            kingcupbay__subcmd__help__subcmd__route,set)
                cmd="kingcupbay__subcmd__help__subcmd__route__subcmd__set"
                ;;
            kingcupbay__subcmd__help__subcmd__upstream,leave)
                cmd="kingcupbay__subcmd__help__subcmd__upstream__subcmd__leave"
                ;;
            kingcupbay__subcmd__help__subcmd__upstream,list)
                cmd="kingcupbay__subcmd__help__subcmd__upstream__subcmd__list"
                ;;
            kingcupbay__subcmd__help__subcmd__upstream,remove)
                cmd="kingcupbay__subcmd__help__subcmd__upstream__subcmd__remove"
                ;;
            kingcupbay__subcmd__help__subcmd__upstream,set)
                cmd="kingcupbay__subcmd__help__subcmd__upstream__subcmd__set"
                ;;
            kingcupbay__subcmd__help__subcmd__version,add)
                cmd="kingcupbay__subcmd__help__subcmd__version__subcmd__add"
                ;;
            kingcupbay__subcmd__help__subcmd__version,list)
                cmd="kingcupbay__subcmd__help__subcmd__version__subcmd__list"
                ;;
            kingcupbay__subcmd__help__subcmd__version,remove)
                cmd="kingcupbay__subcmd__help__subcmd__version__subcmd__remove"
                ;;
            kingcupbay__subcmd__key,help)
                cmd="kingcupbay__subcmd__key__subcmd__help"
                ;;
            kingcupbay__subcmd__key,issue)
                cmd="kingcupbay__subcmd__key__subcmd__issue"
                ;;
            kingcupbay__subcmd__key,list)
                cmd="kingcupbay__subcmd__key__subcmd__list"
                ;;
            kingcupbay__subcmd__key,withdraw)
                cmd="kingcupbay__subcmd__key__subcmd__withdraw"
                ;;
            kingcupbay__subcmd__key__subcmd__help,help)
                cmd="kingcupbay__subcmd__key__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__key__subcmd__help,issue)
                cmd="kingcupbay__subcmd__key__subcmd__help__subcmd__issue"
                ;;
            kingcupbay__subcmd__key__subcmd__help,list)
                cmd="kingcupbay__subcmd__key__subcmd__help__subcmd__list"
                ;;
            kingcupbay__subcmd__key__subcmd__help,withdraw)
                cmd="kingcupbay__subcmd__key__subcmd__help__subcmd__withdraw"
                ;;
            kingcupbay__subcmd__member,help)
                cmd="kingcupbay__subcmd__member__subcmd__help"
                ;;
            kingcupbay__subcmd__member,leave)
                cmd="kingcupbay__subcmd__member__subcmd__leave"
                ;;
            kingcupbay__subcmd__member,list)
                cmd="kingcupbay__subcmd__member__subcmd__list"
                ;;
            kingcupbay__subcmd__member__subcmd__help,help)
                cmd="kingcupbay__subcmd__member__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__member__subcmd__help,leave)
                cmd="kingcupbay__subcmd__member__subcmd__help__subcmd__leave"
                ;;
            kingcupbay__subcmd__member__subcmd__help,list)
                cmd="kingcupbay__subcmd__member__subcmd__help__subcmd__list"
                ;;
            kingcupbay__subcmd__organisation,help)
                cmd="kingcupbay__subcmd__organisation__subcmd__help"
                ;;
            kingcupbay__subcmd__organisation,list)
                cmd="kingcupbay__subcmd__organisation__subcmd__list"
                ;;
            kingcupbay__subcmd__organisation,remove)
                cmd="kingcupbay__subcmd__organisation__subcmd__remove"
                ;;
            kingcupbay__subcmd__organisation,set)
                cmd="kingcupbay__subcmd__organisation__subcmd__set"
                ;;
            kingcupbay__subcmd__organisation__subcmd__help,help)
                cmd="kingcupbay__subcmd__organisation__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__organisation__subcmd__help,list)
                cmd="kingcupbay__subcmd__organisation__subcmd__help__subcmd__list"
                ;;
            kingcupbay__subcmd__organisation__subcmd__help,remove)
                cmd="kingcupbay__subcmd__organisation__subcmd__help__subcmd__remove"
                ;;
            kingcupbay__subcmd__organisation__subcmd__help,set)
                cmd="kingcupbay__subcmd__organisation__subcmd__help__subcmd__set"
                ;;
            kingcupbay__subcmd__route,help)
                cmd="kingcupbay__subcmd__route__subcmd__help"
                ;;
            kingcupbay__subcmd__route,list)
                cmd="kingcupbay__subcmd__route__subcmd__list"
                ;;
            kingcupbay__subcmd__route,remove)
                cmd="kingcupbay__subcmd__route__subcmd__remove"
                ;;
            kingcupbay__subcmd__route,set)
                cmd="kingcupbay__subcmd__route__subcmd__set"
                ;;
            kingcupbay__subcmd__route__subcmd__help,help)
                cmd="kingcupbay__subcmd__route__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__route__subcmd__help,list)
                cmd="kingcupbay__subcmd__route__subcmd__help__subcmd__list"
                ;;
            kingcupbay__subcmd__route__subcmd__help,remove)
                cmd="kingcupbay__subcmd__route__subcmd__help__subcmd__remove"
                ;;
            kingcupbay__subcmd__route__subcmd__help,set)
                cmd="kingcupbay__subcmd__route__subcmd__help__subcmd__set"
                ;;
            kingcupbay__subcmd__upstream,help)
                cmd="kingcupbay__subcmd__upstream__subcmd__help"
                ;;
            kingcupbay__subcmd__upstream,leave)
                cmd="kingcupbay__subcmd__upstream__subcmd__leave"
                ;;
            kingcupbay__subcmd__upstream,list)
                cmd="kingcupbay__subcmd__upstream__subcmd__list"
                ;;
            kingcupbay__subcmd__upstream,remove)
                cmd="kingcupbay__subcmd__upstream__subcmd__remove"
                ;;
            kingcupbay__subcmd__upstream,set)
                cmd="kingcupbay__subcmd__upstream__subcmd__set"
                ;;
            kingcupbay__subcmd__upstream__subcmd__help,help)
                cmd="kingcupbay__subcmd__upstream__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__upstream__subcmd__help,leave)
                cmd="kingcupbay__subcmd__upstream__subcmd__help__subcmd__leave"
                ;;
            kingcupbay__subcmd__upstream__subcmd__help,list)
                cmd="kingcupbay__subcmd__upstream__subcmd__help__subcmd__list"
                ;;
            kingcupbay__subcmd__upstream__subcmd__help,remove)
                cmd="kingcupbay__subcmd__upstream__subcmd__help__subcmd__remove"
                ;;
            kingcupbay__subcmd__upstream__subcmd__help,set)
                cmd="kingcupbay__subcmd__upstream__subcmd__help__subcmd__set"
                ;;
            kingcupbay__subcmd__version,add)
                cmd="kingcupbay__subcmd__version__subcmd__add"
                ;;
            kingcupbay__subcmd__version,help)
                cmd="kingcupbay__subcmd__version__subcmd__help"
                ;;
            kingcupbay__subcmd__version,list)
                cmd="kingcupbay__subcmd__version__subcmd__list"
                ;;
            kingcupbay__subcmd__version,remove)
                cmd="kingcupbay__subcmd__version__subcmd__remove"
                ;;
            kingcupbay__subcmd__version__subcmd__help,add)
                cmd="kingcupbay__subcmd__version__subcmd__help__subcmd__add"
                ;;
            kingcupbay__subcmd__version__subcmd__help,help)
                cmd="kingcupbay__subcmd__version__subcmd__help__subcmd__help"
                ;;
            kingcupbay__subcmd__version__subcmd__help,list)
                cmd="kingcupbay__subcmd__version__subcmd__help__subcmd__list"
                ;;
            kingcupbay__subcmd__version__subcmd__help,remove)
                cmd="kingcupbay__subcmd__version__subcmd__help__subcmd__remove"
                ;;
            *)
                ;;
        esac
    done

    case "${cmd}" in
        kingcupbay)
            opts="-h -V --daemon --json --author --help --version organisation key adapter version upstream route member plan apply export diff history status dump completions man help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 1 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter)
            opts="-h --daemon --json --author --help set remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__help)
            opts="set remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__help__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__list)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__remove)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__adapter__subcmd__set)
            opts="-h --organisation --base --default --no-default --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --organisation)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --default)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__apply)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__completions)
            opts="-h --daemon --json --author --help bash elvish fish powershell zsh"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__diff)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__dump)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__export)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help)
            opts="organisation key adapter version upstream route member plan apply export diff history status dump completions man help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__adapter)
            opts="set remove list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__adapter__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__adapter__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__adapter__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__completions)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__dump)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__export)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__key)
            opts="issue withdraw list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__key__subcmd__issue)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__key__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__key__subcmd__withdraw)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__man)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__member)
            opts="leave list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__member__subcmd__leave)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__member__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__organisation)
            opts="set remove list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__organisation__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__organisation__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__organisation__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__plan)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__route)
            opts="set remove list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__route__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__route__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__route__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__status)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__upstream)
            opts="set leave remove list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__upstream__subcmd__leave)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__upstream__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__upstream__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__upstream__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__version)
            opts="add remove list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__version__subcmd__add)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__version__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__help__subcmd__version__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__history)
            opts="-h --after --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --after)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key)
            opts="-h --daemon --json --author --help issue withdraw list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__help)
            opts="issue withdraw list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__help__subcmd__issue)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__help__subcmd__withdraw)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__issue)
            opts="-h --organisation --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --organisation)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__list)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__key__subcmd__withdraw)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__man)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__member)
            opts="-h --daemon --json --author --help leave list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__member__subcmd__help)
            opts="leave list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__member__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__member__subcmd__help__subcmd__leave)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__member__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__member__subcmd__leave)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__member__subcmd__list)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation)
            opts="-h --daemon --json --author --help set remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__help)
            opts="set remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__help__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__list)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__remove)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__organisation__subcmd__set)
            opts="-h --rate --burst --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --rate)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --burst)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__plan)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route)
            opts="-h --daemon --json --author --help set remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__help)
            opts="set remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__help__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__list)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__remove)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__route__subcmd__set)
            opts="-h --organisation --service --once --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --organisation)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --service)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --once)
                    COMPREPLY=($(compgen -W "true false" -- "${cur}"))
                    return 0
                    ;;
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__status)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream)
            opts="-h --daemon --json --author --help set leave remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__help)
            opts="set leave remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__help__subcmd__leave)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__help__subcmd__set)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__leave)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__list)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__remove)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__upstream__subcmd__set)
            opts="-h --host --address --zone --base --slots --fenced --service --leaving --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --host)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --address)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --zone)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --slots)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --fenced)
                    COMPREPLY=($(compgen -W "true false" -- "${cur}"))
                    return 0
                    ;;
                --service)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --leaving)
                    COMPREPLY=($(compgen -W "true false" -- "${cur}"))
                    return 0
                    ;;
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version)
            opts="-h --daemon --json --author --help add remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__add)
            opts="-h --source --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --source)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__help)
            opts="add remove list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__help__subcmd__add)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__help__subcmd__remove)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__list)
            opts="-h --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        kingcupbay__subcmd__version__subcmd__remove)
            opts="-h --against --daemon --json --author --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --daemon)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --author)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
    esac
}

if [[ "${BASH_VERSINFO[0]}" -eq 4 && "${BASH_VERSINFO[1]}" -ge 4 || "${BASH_VERSINFO[0]}" -gt 4 ]]; then
    complete -F _kingcupbay -o nosort -o bashdefault -o default kingcupbay
else
    complete -F _kingcupbay -o bashdefault -o default kingcupbay
fi
