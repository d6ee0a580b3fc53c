# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_kingcupbay_global_optspecs
    string join \n daemon= json author= h/help V/version
end

function __fish_kingcupbay_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_kingcupbay_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_kingcupbay_using_subcommand
    set -l cmd (__fish_kingcupbay_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -s V -l version -d 'Print version'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "organisation" -d 'Organisations and their rates'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "key" -d 'Access keys of organisations'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "adapter" -d 'Adapters of organisations'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "version" -d 'Versions of adapters'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "upstream" -d 'Upstreams that may take work'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "route" -d 'Routes to plain services'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "member" -d 'Daemons that count towards majorities'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "plan" -d 'Show the changes that would make the configuration what files declare'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "apply" -d 'Make the configuration what files declare, whole or not at all'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "export" -d 'Write the configuration as a declaration'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "diff" -d 'Show what differs between the configuration and what files declare'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "history" -d 'Show the patches that were taken'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "status" -d 'Show a daemon\'s health and standing'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "dump" -d 'Show a daemon\'s whole state'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "completions" -d 'Write the completions of a shell'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "man" -d 'Write the man page'
complete -c kingcupbay -n "__fish_kingcupbay_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -f -a "set" -d 'Make or change an organisation'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -f -a "remove" -d 'Remove an organisation that nothing refers to'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -f -a "list" -d 'List organisations'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and not __fish_seen_subcommand_from set remove list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from set" -l rate -d 'Tokens a second' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from set" -l burst -d 'Tokens that may be used at once' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from set" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from set" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from set" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from set" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from set" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from remove" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from remove" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from remove" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from remove" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from list" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from list" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from list" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from help" -f -a "set" -d 'Make or change an organisation'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove an organisation that nothing refers to'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from help" -f -a "list" -d 'List organisations'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand organisation; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -f -a "issue" -d 'Generate a key and show it, this once only'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -f -a "withdraw" -d 'Withdraw a key'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -f -a "list" -d 'List keys; their secrets are not stored'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and not __fish_seen_subcommand_from issue withdraw list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from issue" -l organisation -d 'Organisation that owns it' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from issue" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from issue" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from issue" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from issue" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from issue" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from withdraw" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from withdraw" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from withdraw" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from withdraw" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from withdraw" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from list" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from list" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from list" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from help" -f -a "issue" -d 'Generate a key and show it, this once only'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from help" -f -a "withdraw" -d 'Withdraw a key'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from help" -f -a "list" -d 'List keys; their secrets are not stored'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand key; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -f -a "set" -d 'Make or change an adapter'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -f -a "remove" -d 'Remove an adapter with all its versions'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -f -a "list" -d 'List adapters'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and not __fish_seen_subcommand_from set remove list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l organisation -d 'Organisation that owns it; cannot be changed' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l base -d 'Base model' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l default -d 'Version used for the name without a label; kept when not given' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l no-default -d 'Use no version for the name without a label'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from set" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from remove" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from remove" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from remove" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from remove" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from list" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from list" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from list" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from help" -f -a "set" -d 'Make or change an adapter'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove an adapter with all its versions'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from help" -f -a "list" -d 'List adapters'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand adapter; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -f -a "add" -d 'Add a version to an adapter; its source never changes'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -f -a "remove" -d 'Remove a version that is not its adapter\'s default'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -f -a "list" -d 'List versions'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and not __fish_seen_subcommand_from add remove list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from add" -l source -d 'Where the weight store keeps it' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from add" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from add" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from add" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from add" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from add" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from remove" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from remove" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from remove" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from remove" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from list" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from list" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from list" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from help" -f -a "add" -d 'Add a version to an adapter; its source never changes'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove a version that is not its adapter\'s default'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from help" -f -a "list" -d 'List versions'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand version; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -f -a "set" -d 'Make or change an upstream'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -f -a "leave" -d 'Give an upstream no new work'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -f -a "remove" -d 'Remove an upstream'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -f -a "list" -d 'List upstreams'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and not __fish_seen_subcommand_from set leave remove list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l host -d 'Host whose daemon owns it' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l address -d 'Address of the engine or service' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l zone -d 'Its availability zone' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l base -d 'Base model whose adapters it serves' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l slots -d 'Adapter slots' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l fenced -d 'Whether the engine refuses old fencing numbers' -r -f -a "true\t''
false\t''"
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l service -d 'Plain service that it serves, as routes name it' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l leaving -d 'Whether it gets no new work; kept when not given' -r -f -a "true\t''
false\t''"
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from set" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from leave" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from leave" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from leave" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from leave" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from leave" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from remove" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from remove" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from remove" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from remove" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from list" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from list" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from list" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "set" -d 'Make or change an upstream'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "leave" -d 'Give an upstream no new work'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove an upstream'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "list" -d 'List upstreams'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -f -a "set" -d 'Make or change a route'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -f -a "remove" -d 'Remove a route'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -f -a "list" -d 'List routes'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and not __fish_seen_subcommand_from set remove list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -l organisation -d 'Organisation that may use it' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -l service -d 'Service behind it' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -l once -d 'Whether a call runs at most once' -r -f -a "true\t''
false\t''"
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from set" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from remove" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from remove" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from remove" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from remove" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from remove" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from list" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from list" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from list" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from help" -f -a "set" -d 'Make or change a route'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from help" -f -a "remove" -d 'Remove a route'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from help" -f -a "list" -d 'List routes'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand route; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and not __fish_seen_subcommand_from leave list help" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and not __fish_seen_subcommand_from leave list help" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and not __fish_seen_subcommand_from leave list help" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and not __fish_seen_subcommand_from leave list help" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and not __fish_seen_subcommand_from leave list help" -f -a "leave" -d 'Remove a daemon that is gone for good'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and not __fish_seen_subcommand_from leave list help" -f -a "list" -d 'List members'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and not __fish_seen_subcommand_from leave list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from leave" -l against -d 'Refuse unless this configuration number is in force; by default the one just read' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from leave" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from leave" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from leave" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from leave" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from list" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from list" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from list" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from help" -f -a "leave" -d 'Remove a daemon that is gone for good'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from help" -f -a "list" -d 'List members'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand member; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand plan" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand plan" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand plan" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand plan" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand apply" -l against -d 'Configuration number that the plan was made against' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand apply" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand apply" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand apply" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand apply" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand export" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand export" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand export" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand export" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand diff" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand diff" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand diff" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand diff" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand history" -l after -d 'Only those that made configuration numbers above this one' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand history" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand history" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand history" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand history" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand status" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand status" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand status" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand status" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand dump" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand dump" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand dump" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand dump" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand completions" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand completions" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand completions" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand completions" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand man" -l daemon -d 'Operators\' port of a daemon; repeat it to name others that are asked when one cannot be reached' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand man" -l author -d 'Author of the change, for the history; by default the environment\'s USER' -r
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand man" -l json -d 'Print JSON, errors too'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand man" -s h -l help -d 'Print help'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "organisation" -d 'Organisations and their rates'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "key" -d 'Access keys of organisations'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "adapter" -d 'Adapters of organisations'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "version" -d 'Versions of adapters'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "upstream" -d 'Upstreams that may take work'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "route" -d 'Routes to plain services'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "member" -d 'Daemons that count towards majorities'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "plan" -d 'Show the changes that would make the configuration what files declare'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "apply" -d 'Make the configuration what files declare, whole or not at all'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "export" -d 'Write the configuration as a declaration'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "diff" -d 'Show what differs between the configuration and what files declare'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "history" -d 'Show the patches that were taken'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "status" -d 'Show a daemon\'s health and standing'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "dump" -d 'Show a daemon\'s whole state'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "completions" -d 'Write the completions of a shell'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "man" -d 'Write the man page'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and not __fish_seen_subcommand_from organisation key adapter version upstream route member plan apply export diff history status dump completions man help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from organisation" -f -a "set" -d 'Make or change an organisation'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from organisation" -f -a "remove" -d 'Remove an organisation that nothing refers to'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from organisation" -f -a "list" -d 'List organisations'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from key" -f -a "issue" -d 'Generate a key and show it, this once only'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from key" -f -a "withdraw" -d 'Withdraw a key'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from key" -f -a "list" -d 'List keys; their secrets are not stored'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from adapter" -f -a "set" -d 'Make or change an adapter'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from adapter" -f -a "remove" -d 'Remove an adapter with all its versions'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from adapter" -f -a "list" -d 'List adapters'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from version" -f -a "add" -d 'Add a version to an adapter; its source never changes'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from version" -f -a "remove" -d 'Remove a version that is not its adapter\'s default'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from version" -f -a "list" -d 'List versions'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from upstream" -f -a "set" -d 'Make or change an upstream'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from upstream" -f -a "leave" -d 'Give an upstream no new work'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from upstream" -f -a "remove" -d 'Remove an upstream'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from upstream" -f -a "list" -d 'List upstreams'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from route" -f -a "set" -d 'Make or change a route'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from route" -f -a "remove" -d 'Remove a route'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from route" -f -a "list" -d 'List routes'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from member" -f -a "leave" -d 'Remove a daemon that is gone for good'
complete -c kingcupbay -n "__fish_kingcupbay_using_subcommand help; and __fish_seen_subcommand_from member" -f -a "list" -d 'List members'
