#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "soak/backend.h"
#include "soak/link_proxy.h"
#include "soak/soak.h"

namespace standin::soak {

inline constexpr std::uint16_t kCallerPort = 9100;
inline constexpr std::uint16_t kBackendPort = 9103;
/*! Networks of addresses: the store, what peers and callers use, where nodes listen for links. */
inline constexpr int kStoreNetwork = 0;
inline constexpr int kPublicNetwork = 1;
inline constexpr int kListenNetwork = 2;

inline constexpr int kZones = 3;
inline constexpr celeryramp::Millis kGrace{6000};

[[nodiscard]] inline std::string zoneName(int index)
{
    return std::string(1, static_cast<char>('a' + index % kZones));
}

/*! @brief A node with its server and the proxy of its links. */
struct Soak::Node
{
    int index = 0;
    std::string name;
    std::string zone;
    std::string service;
    std::string serverId;
    std::string serverState; /*!< As published last. */
    int serverSequence = 0;
    std::string settingsPath;
    std::unique_ptr<LinkProxy> proxy;
    std::unique_ptr<Backend> backend;
    std::uint64_t startedMillis = 0;
    bool isStopping = false;
    celeryramp::TimePoint stopBegan;
};

} // namespace standin::soak
