#include "control/help.h"

namespace flamingoshunt::control {
namespace {

constexpr const char* kOptions = R"(OPTIONS
       --platform IP:PORT    Address of the platform's object API; may be
                             given again for others, which are tried in turn.
       --node IP:PORT        Admin address of an entry node; may be repeated.
       --config FILE         Settings of a flamingoshuntd, from which addresses
                             that are not given are taken.
       --output table|json   Form of the output. Default: table.
       --wait                apply, edit, delete: return once every live node
                             has the edit in force.
       --timeout SECONDS     Longest wait of --wait. Default: 10.
       --expect-version N    apply (of one item), delete: fail with a conflict
                             unless the object's version is N.
       --prune               apply: delete what the file does not name.
       --undo                drain: take a drain back.
       --file FILE           edit: the file to write or to read.
       -h, --help            Print this text, or that of a command.
)";

constexpr const char* kExitStatus = R"(EXIT STATUS
       0  Done.
       1  Failed: not found, or anything without a code of its own.
       2  Wrong usage, or a document with problems; each is printed.
       3  Conflict: somebody else edited first; both versions are printed.
       4  The platform or the nodes could not be reached.
       5  Applied, but not confirmed by every live node in time.
)";

std::string Indented(const std::string& text) {
  std::string out = "       ";
  for (const char c : text) {
    out.push_back(c);
    if (c == '\n')
      out += "       ";
  }
  return out + '\n';
}

std::string Padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size() + 1), ' ');
  return text;
}

std::string WholeProgram() {
  std::string text =
      "NAME\n       flamingoshuntctl - operate a flamingoshunt deployment\n\n"
      "SYNOPSIS\n       flamingoshuntctl COMMAND [ARGUMENT...] [OPTION...]\n\n"
      "COMMANDS\n";
  for (const command& each : Commands()) {
    text += "       " +
            Padded(std::string(each.name) + " " + each.arguments, 30) +
            each.summary + '\n';
  }
  return text + '\n' + kOptions + '\n' + kExitStatus;
}

}  // namespace

std::string HelpText(const command* about) {
  if (!about)
    return WholeProgram();
  const std::string name = about->name;
  return "NAME\n       flamingoshuntctl " + name + " - " + about->summary +
         "\n\nSYNOPSIS\n       flamingoshuntctl " + name + " " +
         about->arguments + " [OPTION...]\n\nDESCRIPTION\n" +
         Indented(about->details) + '\n' + kOptions + '\n' + kExitStatus;
}

std::string BashCompletion() {
  std::string names;
  for (const command& each : Commands())
    names += (names.empty() ? "" : " ") + std::string(each.name);
  return R"(_flamingoshuntctl() {
  local word="${COMP_WORDS[COMP_CWORD]}" before="${COMP_WORDS[COMP_CWORD-1]}"
  local options="--platform --node --config --output --wait --timeout
    --expect-version --prune --undo --file --help"
  case "$before" in
    --output) COMPREPLY=($(compgen -W "table json" -- "$word")); return ;;
    --config|--file|validate|apply|diff)
      COMPREPLY=($(compgen -f -- "$word")); return ;;
    get|edit|delete) COMPREPLY=($(compgen -W "entry workspace" -- "$word"))
      return ;;
    quarantine) COMPREPLY=($(compgen -W "list lift" -- "$word")); return ;;
    completion) COMPREPLY=($(compgen -W "bash" -- "$word")); return ;;
  esac
  if [[ "$word" == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$word"))
  else
    COMPREPLY=($(compgen -W ")" +
         names + R"(" -- "$word"))
  fi
}
complete -F _flamingoshuntctl flamingoshuntctl
)";
}

}  // namespace flamingoshunt::control
