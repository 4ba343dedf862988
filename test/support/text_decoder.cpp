#include "support/text_decoder.h"

#include <sstream>

namespace celeryramp::test {

Result<directory::DecodedItem, directory::DirectoryError>
TextDecoder::decode(std::string_view key, std::string_view value) const
{
    std::istringstream text{std::string{value}};
    if (key == "configuration") {
        auto configuration = base;
        text >> configuration.version;
        if (!text) {
            return directory::DirectoryError{std::string{key}, "no version"};
        }
        return directory::DecodedItem{std::move(configuration)};
    }
    if (key.substr(0, 5) == "zone/") {
        return directory::DecodedItem{directory::EvacuatedZone{std::string{key.substr(5)}}};
    }
    directory::BackendServer server;
    std::string address;
    std::string state;
    long cold = 0;
    text >> server.id >> server.service >> server.zone >> address >> server.slots >> state >> cold
            >> server.startedMillis;
    const auto parsed = parseAddress(address);
    if (!text || !parsed) {
        return directory::DirectoryError{std::string{key}, "not readable"};
    }
    if (std::uint64_t sequence = 0; text >> sequence) {
        server.sequence = sequence;
    }
    server.address = *parsed;
    server.isDraining = state == "draining";
    server.coldRemaining = Millis{cold};
    return directory::DecodedItem{std::move(server)};
}

} // namespace celeryramp::test
