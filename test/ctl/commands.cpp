#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "core/hash.h"
#include "ctl/commands.h"
#include "ctl/config_review.h"
#include "support/sample_config.h"
#include "transport/http_listener.h"

using namespace celeryramp;

namespace {

class PartsFolder
{
public:
    explicit PartsFolder(const std::map<std::string, std::string> &parts)
        : m_path{std::filesystem::temp_directory_path() / ("ctl-" + std::to_string(getpid()))}
    {
        std::filesystem::create_directories(m_path);
        for (const auto &[name, text] : parts) {
            std::ofstream{m_path / (name + ".json")} << text;
        }
    }
    ~PartsFolder() { std::filesystem::remove_all(m_path); }
    PartsFolder(const PartsFolder &) = delete;
    PartsFolder &operator=(const PartsFolder &) = delete;

    [[nodiscard]] std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

} // namespace

TEST_CASE("a good folder is called good")
{
    const PartsFolder folder{testsupport::sampleParts()};
    REQUIRE(checkFolder(folder.path(), {}).exit == CtlExit::Good);
    const auto json = nlohmann::json::parse(checkFolder(folder.path(), {true}).out);
    REQUIRE(json.at("servers") == 6);
}

TEST_CASE("a bad folder is told with file, place and reason")
{
    auto parts = testsupport::sampleParts();
    parts["keys"] = R"({"keys":{"k1":{"account":"nobody","salt":"0","hash":")"
            + std::string(64, 'a') + R"("}}})";
    const PartsFolder folder{parts};
    const auto output = checkFolder(folder.path(), {});
    REQUIRE(output.exit == CtlExit::Bad);
    REQUIRE(output.error
            == folder.path() + "/keys.json: /keys/k1/account: there is no account named nobody\n");
    REQUIRE(checkFolder("/nowhere", {}).exit == CtlExit::Bad);
}

TEST_CASE("a folder is compared with the version in force and notes fail a strict check")
{
    auto parts = testsupport::sampleParts();
    auto accounts = nlohmann::json::parse(parts.at("accounts"));
    accounts["accounts"]["new"] = {{"rate", 5}, {"burst", 50}};
    parts["accounts"] = accounts.dump();
    const PartsFolder folder{parts};
    CheckOptions options;
    options.inForce = testsupport::sampleSnapshot(1);
    const auto output = checkFolder(folder.path(), options);
    REQUIRE(output.exit == CtlExit::Good);
    REQUIRE(output.out.find("never matches: accounts.json: /accounts/new: no key belongs to it\n")
            != std::string::npos);
    REQUIRE(output.out.find("added: account new\n") != std::string::npos);
    options.isStrict = true;
    REQUIRE(checkFolder(folder.path(), options).exit == CtlExit::Bad);
    options.asJson = true;
    const auto json = nlohmann::json::parse(checkFolder(folder.path(), options).out);
    REQUIRE(json.at("notes").size() == 1);
    REQUIRE(json.at("changes").at(0).at("entity") == "account new");
}

TEST_CASE("the version in force is read from a node and told from what is no configuration")
{
    nlohmann::json answer{{"version", 7}, {"parts", testsupport::sampleParts()}};
    HttpListenerSettings settings;
    settings.address = {"127.0.0.73", 17809};
    HttpListener listener{settings, [&answer](const HttpRequest &request) {
                              HttpResponse response;
                              response.status = request.path == "/configuration" ? 200 : 404;
                              response.body = answer.dump();
                              return response;
                          }};
    REQUIRE(listener.start());
    const OperatorClient client{{}};
    const auto loaded = loadInForce(client, settings.address);
    REQUIRE(loaded);
    REQUIRE(loaded.value()->stamp().version == 7);
    REQUIRE(compareConfigs(loaded.value()->model(), testsupport::sampleSnapshot(1)->model())
                    .empty());
    answer["parts"]["zones"] = "{}";
    REQUIRE(loadInForce(client, settings.address).error().exit == CtlExit::Bad);
    answer = {{"version", 0}, {"parts", nlohmann::json::object()}};
    REQUIRE(loadInForce(client, settings.address).error().exit == CtlExit::Bad);
}

TEST_CASE("Failure: a check against a node that does not answer says so")
{
    const OperatorClient client{{}};
    const auto loaded = loadInForce(client, {"127.0.0.1", 1});
    REQUIRE_FALSE(loaded);
    REQUIRE(loaded.error().exit == CtlExit::Unreachable);
}

TEST_CASE("a key's entry holds its hash and not its secret")
{
    const auto output = hashKey("k7.secret", "acme");
    REQUIRE(output.exit == CtlExit::Good);
    REQUIRE(output.out.find("secret") == std::string::npos);
    const auto entry = nlohmann::json::parse(output.out).at("k7");
    REQUIRE(entry.at("hash") == sha256Hex(entry.at("salt").get<std::string>() + "secret"));
    REQUIRE(hashKey("k7", "acme").exit == CtlExit::Usage);
    REQUIRE(hashKey(".x", "acme").exit == CtlExit::Usage);
}

TEST_CASE("a node that does not answer is told so")
{
    const OperatorClient client{""};
    const Address nobody{"127.0.0.1", 1};
    REQUIRE(siteStatus(client, nobody, false).exit == CtlExit::Unreachable);
    REQUIRE(dumpNode(client, nobody).exit == CtlExit::Unreachable);
    REQUIRE(explainPath(client, nobody, "/x", false).exit == CtlExit::Unreachable);
}
