// ladderctl: the operators' command line.
#include <iostream>
#include <string>
#include <vector>

#include "operator_cli/commands.h"
#include "operator_cli/options.h"
#include "operator_cli/usage_error.h"
#include "settings/program_flags.h"

namespace cli = ladderstream::operator_cli;

int main(int argc, char** argv) {
  ladderstream::settings::ParseProgramFlags(cli::UsageText(), "operator_cli/", &argc, &argv);
  try {
    cli::Commands commands(cli::ReadOptions(), std::cout, std::cerr);
    return commands.Run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const cli::UsageError& error) {
    std::cerr << "usage: " << error.what() << "\n";
  } catch (const std::exception& error) {
    std::cerr << "ladderctl: " << error.what() << "\n";
  }
  return cli::kExitUsage;
}
