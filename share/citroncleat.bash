# Completion for citroncleat in bash.
_citroncleat () {
  local word=${COMP_WORDS[COMP_CWORD]}
  local commands="entry gateway check-settings apply get describe delete drain undrain status watch burn lookup trace version"
  local kinds="region zone link service upstream-group upstream policy drain"
  case $COMP_CWORD in
    1) COMPREPLY=($(compgen -W "$commands" -- "$word")); return ;;
  esac
  case ${COMP_WORDS[COMP_CWORD - 1]} in
    -f | --file) COMPREPLY=($(compgen -f -- "$word")); return ;;
    -o | --output) COMPREPLY=($(compgen -W "json table" -- "$word")); return ;;
  esac
  case $word in
    -*) COMPREPLY=($(compgen -W "--entry --token --output --help" -- "$word")); return ;;
  esac
  case ${COMP_WORDS[1]} in
    get | describe | delete)
      if [ "$COMP_CWORD" = 2 ]; then
        COMPREPLY=($(compgen -W "$kinds" -- "$word"))
      elif [ "$COMP_CWORD" = 3 ]; then
        COMPREPLY=($(compgen -W "$(citroncleat get "${COMP_WORDS[2]}" 2>/dev/null | awk '{ print $2 }')" -- "$word"))
      fi ;;
    drain | undrain)
      [ "$COMP_CWORD" != 2 ] || COMPREPLY=($(compgen -W "upstream zone region entry" -- "$word")) ;;
  esac
}
complete -F _citroncleat citroncleat
