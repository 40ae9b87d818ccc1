// ladderctl: the operators' command line.
#include <iostream>
#include <string>
#include <vector>

#include "ladderctl/commands.h"
#include "ladderctl/options.h"
#include "ladderctl/usage_error.h"
#include "settings/program_flags.h"

namespace cli = ladderstream::ladderctl;

int main(int argc, char** argv) {
  ladderstream::settings::ParseProgramFlags(cli::UsageText(), "ladderctl/", &argc, &argv);
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
