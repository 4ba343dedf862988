/*! @file
 *  The operator's tool. It reads what nodes show and checks configurations; it changes nothing.
 */

#include <csignal>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "ctl/commands.h"
#include "ctl/request_trace.h"

namespace {

using celeryramp::CtlExit;
using celeryramp::CtlOutput;

const char *const kUsage = R"(Usage: celeryrampctl COMMAND [options]

  check FOLDER                 validate the parts in a folder before they are published
  status  --node IP:PORT       version in force on every node, laggards marked
  dump    --node IP:PORT       the whole state of one process as JSON
  explain --node IP:PORT PATH  where a call on this path would go, and why
  trace ID [FILE]...           what the logs of nodes say of a request; reads standard input
                               without files
  keys hash --account NAME     read a key id.secret from standard input, print the entry to publish

Options: --json for machines, --token-file FILE for operator ports beyond loopback, --version, --help
Exit codes: 0 good, 1 not good (bad configuration, laggards), 2 usage, 3 no answer
)";

CtlOutput usage(const std::string &error)
{
    return {CtlExit::Usage, {}, "celeryrampctl: " + error + "; see --help\n"};
}

std::string readLine(std::istream &in)
{
    std::string line;
    std::getline(in, line);
    return line;
}

CtlOutput askNode(const cxxopts::ParseResult &parsed, const std::string &command,
                  const std::vector<std::string> &words)
{
    if (parsed.count("node") == 0) {
        return usage(command + " needs --node IP:PORT");
    }
    const auto node = celeryramp::parseAddress(parsed["node"].as<std::string>());
    if (!node) {
        return usage("--node accepts an IP number with a port");
    }
    std::string token;
    if (parsed.count("token-file") > 0) {
        std::ifstream in{parsed["token-file"].as<std::string>()};
        token = readLine(in);
    }
    const celeryramp::OperatorClient client{token};
    const bool asJson = parsed.count("json") > 0;
    if (command == "status") {
        return celeryramp::siteStatus(client, *node, asJson);
    }
    if (command == "dump") {
        return celeryramp::dumpNode(client, *node);
    }
    return words.size() == 2 ? celeryramp::explainPath(client, *node, words[1], asJson)
                             : usage("explain needs a path");
}

CtlOutput trace(const std::vector<std::string> &words)
{
    celeryramp::RequestTrace trace{words[1]};
    if (words.size() == 2) {
        trace.read(std::cin);
    }
    for (std::size_t i = 2; i < words.size(); ++i) {
        std::ifstream in{words[i]};
        if (!in) {
            return usage("cannot read " + words[i]);
        }
        trace.read(in);
    }
    return trace.output();
}

CtlOutput run(const cxxopts::ParseResult &parsed)
{
    const auto words = parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>{};
    if (words.empty()) {
        return usage("a command is needed");
    }
    const auto &command = words.front();
    if (command == "check") {
        return words.size() == 2 ? celeryramp::checkFolder(words[1], parsed.count("json") > 0)
                                 : usage("check needs a folder");
    }
    if (command == "status" || command == "dump" || command == "explain") {
        return askNode(parsed, command, words);
    }
    if (command == "trace") {
        return words.size() > 1 ? trace(words) : usage("trace needs the id of a request");
    }
    if (command == "keys" && words.size() == 2 && words[1] == "hash") {
        return parsed.count("account") > 0
                ? celeryramp::hashKey(readLine(std::cin), parsed["account"].as<std::string>())
                : usage("keys hash needs --account NAME");
    }
    return usage("no command " + command);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options{"celeryrampctl", "The operator's tool"};
    options.add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
            "node", "", cxxopts::value<std::string>())("token-file", "",
                                                       cxxopts::value<std::string>())(
            "account", "", cxxopts::value<std::string>())("json", "")("version", "")("help", "");
    options.parse_positional({"words"});
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << kUsage;
            return 0;
        }
        if (parsed.count("version") > 0) {
            std::cout << "celeryrampctl " << CELERYRAMP_VERSION << '\n';
            return 0;
        }
        const auto output = run(parsed);
        std::cout << output.out;
        std::cerr << output.error;
        return static_cast<int>(output.exit);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "celeryrampctl: " << error.what() << "; see --help\n";
        return static_cast<int>(CtlExit::Usage);
    }
}
