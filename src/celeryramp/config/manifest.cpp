#include "config/manifest.h"

#include "core/hash.h"

namespace celeryramp {

std::string Manifest::digest() const
{
    std::string text = std::to_string(version);
    for (const auto &[name, hash] : parts) {
        text.append("\n").append(name).append("=").append(hash);
    }
    return sha256Hex(text);
}

} // namespace celeryramp
