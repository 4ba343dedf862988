#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "node/node_settings.h"

using namespace celeryramp;

namespace {

const std::string kGood = R"([node]
server = "stock-a-1"
zone = "a"
[callers]
listen = "127.0.0.1:8001"
[inside]
listen = "127.0.0.1:8002"
[peers]
listen = "127.0.0.1:8003"
seeds = ["127.0.0.1:8013"]
authority = "pem"
certificate = "pem"
private_key = "pem"
[operator]
listen = "127.0.0.1:8004"
[server]
address = "127.0.0.1:9001"
slots = 12
[platform]
address = "127.0.0.1:7000"
)";

class Folder
{
public:
    Folder() : m_path{std::filesystem::temp_directory_path() / ("cr-" + std::to_string(getpid()))}
    {
        std::filesystem::create_directories(m_path);
        std::ofstream{m_path / "pem"} << "x";
        std::ofstream{m_path / "token"} << "0123456789abcdef0123\n";
        std::ofstream{m_path / "short"} << "abc\n";
    }
    ~Folder() { std::filesystem::remove_all(m_path); }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    [[nodiscard]] Result<NodeSettings, SettingsError> load(const std::string &text) const
    {
        const auto path = m_path / "node.toml";
        std::ofstream{path} << text;
        return loadNodeSettings(path.string());
    }

    /*! Error text without the path of the temporary folder. */
    [[nodiscard]] std::string errorOf(const std::string &text) const
    {
        const auto result = load(text);
        REQUIRE_FALSE(result);
        const auto &error = result.error().text;
        return error.substr(error.find("node.toml"));
    }

private:
    std::filesystem::path m_path;
};

std::string with(const std::string &from, const std::string &to)
{
    auto text = kGood;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("valid settings are read and missing keys take their defaults")
{
    const Folder folder;
    const auto settings = folder.load(kGood);
    REQUIRE(settings);
    REQUIRE(settings.value().server == "stock-a-1");
    REQUIRE(settings.value().slots == 12);
    REQUIRE(settings.value().seeds.size() == 1);
    REQUIRE(settings.value().ledger.retention == Millis{300'000});
    REQUIRE_FALSE(settings.value().faultsAllowed);
}

TEST_CASE("each bad setting gives one line with file, line, key and what is accepted")
{
    const Folder folder;
    REQUIRE(folder.errorOf(with("slots = 12", "slots = 0"))
            == "node.toml:18: server.slots: accepted: a whole number 1 to 4096");
    REQUIRE(folder.errorOf(with("slots = 12", "slots = \"many\""))
            == "node.toml:18: server.slots: accepted: a whole number 1 to 4096");
    REQUIRE(folder.errorOf(with("slots = 12", "slotz = 12"))
            == "node.toml:18: server.slotz: unknown key");
    REQUIRE(folder.errorOf(with("127.0.0.1:8001", "localhost:8001"))
            == "node.toml:5: callers.listen: accepted: an IP number with a port 1 to 65535, such "
               "as 127.0.0.1:8080");
    REQUIRE(folder.errorOf(with("127.0.0.1:8002", "10.0.0.1:8002"))
            == "node.toml:7: inside.listen: accepted: a loopback number with a port");
    REQUIRE(folder.errorOf(with("server = \"stock-a-1\"", ""))
            == "node.toml:1: node.server: is missing; accepted: a text");
    REQUIRE(folder.errorOf(with("authority = \"pem\"", "authority = \"gone\""))
                    .rfind("node.toml:11: peers.authority: cannot read the file", 0)
            == 0);
    REQUIRE(folder.errorOf("[node\n").rfind("node.toml:", 0) == 0);
    REQUIRE_FALSE(loadNodeSettings("/nowhere/node.toml"));
}

TEST_CASE("an operator port beyond loopback needs a token")
{
    const Folder folder;
    const auto open = with("127.0.0.1:8004", "10.0.0.1:8004");
    REQUIRE(folder.errorOf(open)
            == "node.toml:15: operator.listen: needs operator.token_file unless it is a loopback "
               "number");
    const auto withToken = with("127.0.0.1:8004\"", "10.0.0.1:8004\"\ntoken_file = \"token\"");
    REQUIRE(folder.load(withToken).value().operatorToken == "0123456789abcdef0123");
    const auto withShort = with("127.0.0.1:8004\"", "10.0.0.1:8004\"\ntoken_file = \"short\"");
    REQUIRE_FALSE(folder.load(withShort));
}
