#include "control/invocation.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdlib>

#include "base/checked_json.h"
#include "control/help.h"
#include "settings/settings.h"

namespace flamingoshunt::control {
namespace {

namespace po = boost::program_options;

constexpr double kMaxTimeout = 3600;  // seconds

command_error Usage(const std::string& message) {
  return {exit_code::kInvalid, message + "\nTry: flamingoshuntctl --help"};
}

po::options_description Options() {
  using strings = std::vector<std::string>;
  po::options_description all;
  all.add_options()("help,h", "")("platform", po::value<strings>())(
      "node", po::value<strings>())("config", po::value<std::string>())(
      "output", po::value<std::string>())("wait", "")("prune", "")("undo", "")(
      "timeout", po::value<double>())("expect-version",
                                      po::value<std::uint64_t>())(
      "file", po::value<std::string>())("words", po::value<strings>());
  return all;
}

po::variables_map ParseOptions(const std::vector<std::string>& words) {
  const po::options_description options = Options();
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map given;
  // Guessing would make "--w" mean something else after an upgrade.
  const int style = po::command_line_style::unix_style &
                    ~po::command_line_style::allow_guessing;
  try {
    po::store(po::command_line_parser(words)
                  .options(options)
                  .positional(positional)
                  .style(style)
                  .run(),
              given);
    po::notify(given);
  } catch (const po::error& error) {
    throw Usage(error.what());
  }
  return given;
}

void CheckAddresses(const std::vector<std::string>& addresses,
                    const char* option) {
  for (const std::string& address : addresses) {
    if (!settings::ParseIpEndpoint(address))
      throw Usage(std::string(option) + " " + address + ": must be IP:port");
  }
}

template <class Value>
void Take(const po::variables_map& given, const char* name, Value& value) {
  if (given.count(name))
    value = given[name].as<Value>();
}

// Fills addresses from a daemon's settings.
void ReadConfig(const std::string& path, outside& world, invocation& call) {
  const auto text = world.ReadFile(path);
  if (!text)
    throw Usage("--config " + path + ": cannot be read");
  const settings::daemon_settings all = settings::ReadSettings(*text);
  if (call.platform.empty()) {
    for (const settings::ip_endpoint& each : all.platform.addresses)
      call.platform.push_back(each.Text());
  }
  if (call.nodes.empty())
    call.nodes.push_back(all.listen.admin.Text());
}

void CheckCommand(const invocation& call) {
  const command* found = FindCommand(call.command);
  if (!found)
    throw Usage(call.command + ": no such command");
  const std::size_t count = call.arguments.size();
  if (count < found->least_arguments || count > found->most_arguments)
    throw Usage("usage: flamingoshuntctl " + std::string(found->name) + " " +
                found->arguments);
}

}  // namespace

const command* FindCommand(const std::string& name) {
  const auto& all = Commands();
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [&](const command& each) { return name == each.name; });
  return found == all.end() ? nullptr : &*found;
}

invocation ParseCommandLine(const std::vector<std::string>& words,
                            outside& world) {
  const po::variables_map given = ParseOptions(words);
  invocation call;
  Take(given, "words", call.arguments);
  Take(given, "platform", call.platform);
  Take(given, "node", call.nodes);
  Take(given, "file", call.file);
  call.help = given.count("help") > 0;
  call.wait = given.count("wait") > 0;
  call.prune = given.count("prune") > 0;
  call.undo = given.count("undo") > 0;
  if (given.count("expect-version"))
    call.expect_version = given["expect-version"].as<std::uint64_t>();
  std::string output = "table";
  Take(given, "output", output);
  if (output != "table" && output != "json")
    throw Usage("--output " + output + ": must be one of: table, json");
  call.output = output == "json" ? output_format::kJson : output_format::kTable;
  double seconds = std::chrono::duration<double>(call.timeout).count();
  Take(given, "timeout", seconds);
  if (!(seconds > 0 && seconds <= kMaxTimeout))
    throw Usage("--timeout: must be above 0 and at most 3600 seconds");
  call.timeout = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(seconds));
  if (!call.arguments.empty()) {
    call.command = call.arguments.front();
    call.arguments.erase(call.arguments.begin());
  }
  if (call.help || call.command.empty())
    return call;
  CheckAddresses(call.platform, "--platform");
  CheckAddresses(call.nodes, "--node");
  CheckCommand(call);
  if (given.count("config"))
    ReadConfig(given["config"].as<std::string>(), world, call);
  return call;
}

exit_code Run(const std::vector<std::string>& words,
              outside& world,
              std::ostream& out,
              std::ostream& errors) {
  try {
    const invocation call = ParseCommandLine(words, world);
    const command* found = FindCommand(call.command);
    if (call.help || !found) {
      (call.help ? out : errors) << HelpText(found);
      return call.help ? exit_code::kOk : exit_code::kInvalid;
    }
    world.UsePlatform(call.platform);
    session here{world, out};
    return found->run(here, call);
  } catch (const command_error& error) {
    errors << error.what() << '\n';
    return error.code();
  } catch (const base::json_document_error& error) {
    errors << error.what() << '\n';
    return exit_code::kInvalid;
  } catch (const std::exception& error) {
    errors << error.what() << '\n';
    return exit_code::kFailure;
  }
}

}  // namespace flamingoshunt::control
