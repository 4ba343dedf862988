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

  check FOLDER                 validate the parts in a folder before they are published, and note
                               entries that never match and limits that contradict each other;
                               --node IP:PORT or --against FOLDER tells what differs from the
                               version in force; --strict: notes are not good
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

std::string readToken(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("token-file") == 0) {
        return {};
    }
    std::ifstream in{parsed["token-file"].as<std::string>()};
    return readLine(in);
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
    const celeryramp::OperatorClient client{readToken(parsed)};
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

CtlOutput check(const cxxopts::ParseResult &parsed, const std::string &folder)
{
    celeryramp::CheckOptions options;
    options.asJson = parsed.count("json") > 0;
    options.isStrict = parsed.count("strict") > 0;
    if (parsed.count("against") > 0 && parsed.count("node") > 0) {
        return usage("check takes --node or --against");
    }
    if (parsed.count("against") > 0) {
        const auto other = celeryramp::loadFolder(parsed["against"].as<std::string>(), false);
        if (!other) {
            return other.error();
        }
        options.inForce = other.value();
    } else if (parsed.count("node") > 0) {
        const auto node = celeryramp::parseAddress(parsed["node"].as<std::string>());
        if (!node) {
            return usage("--node accepts an IP number with a port");
        }
        const auto other
                = celeryramp::loadInForce(celeryramp::OperatorClient{readToken(parsed)}, *node);
        if (!other) {
            return other.error();
        }
        options.inForce = other.value();
    }
    return celeryramp::checkFolder(folder, options);
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
        return words.size() == 2 ? check(parsed, words[1]) : usage("check needs a folder");
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
            "node", "", cxxopts::value<std::string>())(
            "token-file", "", cxxopts::value<std::string>())("account", "",
                                                             cxxopts::value<std::string>())(
            "against", "", cxxopts::value<std::string>())("strict", "")("json", "")("version",
                                                                                    "")("help", "");
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
