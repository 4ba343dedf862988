#include "node/node_settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

#include "node/settings_reader.h"

namespace celeryramp {

namespace internal {

constexpr std::int64_t kMaxThreads = 4096;
constexpr std::int64_t kMaxBody = 4 * 1024 * 1024;
constexpr std::size_t kLeastTokenBytes = 16;

[[nodiscard]] std::string readToken(SettingsReader &reader, const std::string &key)
{
    const auto path = reader.file(key);
    std::ifstream in{path};
    std::string token{std::istreambuf_iterator<char>{in}, {}};
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
        token.pop_back();
    }
    if (token.size() < kLeastTokenBytes) {
        reader.fail(key, "the file must hold a token of at least 16 characters");
    }
    return token;
}

void readListeners(SettingsReader &reader, NodeSettings &settings)
{
    settings.callers = reader.address("callers.listen");
    settings.callerThreads = reader.integer("callers.threads", 1, kMaxThreads, 64);
    settings.maxBodyBytes = reader.integer("callers.max_body_bytes", 0, kMaxBody, 1024 * 1024);
    settings.inside = reader.address("inside.listen");
    settings.insideThreads = reader.integer("inside.threads", 1, kMaxThreads, 32);
    if (!settings.inside.isLoopback()) {
        reader.fail("inside.listen", "accepted: a loopback number with a port");
    }
    settings.operators = reader.address("operator.listen");
    if (reader.has("operator.token_file")) {
        settings.operatorToken = readToken(reader, "operator.token_file");
    } else if (!settings.operators.isLoopback()) {
        reader.fail("operator.listen", "needs operator.token_file unless it is a loopback number");
    }
}

void readPeers(SettingsReader &reader, NodeSettings &settings)
{
    settings.peers = reader.address("peers.listen");
    settings.seeds = reader.addresses("peers.seeds");
    settings.tls.authority = reader.file("peers.authority");
    settings.tls.certificate = reader.file("peers.certificate");
    settings.tls.privateKey = reader.file("peers.private_key");
}

struct MechanismEntry
{
    const char *name;
    bool Mechanisms::*member;
};

constexpr std::array kMechanisms{MechanismEntry{"ramp", &Mechanisms::ramp},
                                 MechanismEntry{"ledger", &Mechanisms::ledger},
                                 MechanismEntry{"zones", &Mechanisms::zones},
                                 MechanismEntry{"keys", &Mechanisms::keys},
                                 MechanismEntry{"leaving", &Mechanisms::leaving},
                                 MechanismEntry{"fairness", &Mechanisms::fairness},
                                 MechanismEntry{"rates", &Mechanisms::rates},
                                 MechanismEntry{"quarantine", &Mechanisms::quarantine},
                                 MechanismEntry{"retry-budget", &Mechanisms::retryBudget}};

void readTesting(SettingsReader &reader, NodeSettings &settings)
{
    settings.faultsAllowed = reader.flag("testing.faults", false);
    const auto mode = reader.choice("testing.distribution", {"tree", "watch", "gossip"}, "tree");
    settings.distribution = mode == "watch" ? DistributionMode::Watch
            : mode == "gossip"              ? DistributionMode::Gossip
                                            : DistributionMode::Tree;
    for (const auto &name : reader.texts("testing.without")) {
        const auto it = std::find_if(kMechanisms.begin(), kMechanisms.end(),
                                     [&](const auto &entry) { return name == entry.name; });
        if (it == kMechanisms.end()) {
            reader.fail("testing.without", "no mechanism named " + name);
        } else if (!settings.faultsAllowed) {
            reader.fail("testing.without", "needs testing.faults = true");
        } else {
            settings.mechanisms.*(it->member) = false;
        }
    }
}

void readRest(SettingsReader &reader, NodeSettings &settings)
{
    settings.backend = reader.address("server.address");
    settings.slots = static_cast<int>(reader.integer("server.slots", 1, kMaxThreads, 12));
    settings.queueCapacity = reader.integer("server.queue", 1, 65536, 256);
    settings.platform = reader.address("platform.address");
    settings.startSpread = Millis{reader.integer("platform.start_spread_ms", 0, 60'000, 8000)};
    settings.ledger.retention = Millis{1000 * reader.integer("ledger.retention_s", 5, 86'400, 300)};
    settings.ledger.firstStart = reader.flag("ledger.first_start", false);
    const auto level = reader.choice("log.level", {"debug", "info", "warn", "error"}, "info");
    static_cast<void>(parseLogLevel(level, settings.logLevel));
    readTesting(reader, settings);
}

} // namespace internal

Result<NodeSettings, SettingsError> loadNodeSettings(const std::string &path)
{
    SettingsReader reader{path};
    NodeSettings settings;
    settings.server = reader.text("node.server");
    settings.zone = reader.text("node.zone");
    internal::readListeners(reader, settings);
    internal::readPeers(reader, settings);
    internal::readRest(reader, settings);
    reader.finish();
    if (reader.error()) {
        return SettingsError{*reader.error()};
    }
    return settings;
}

} // namespace celeryramp
