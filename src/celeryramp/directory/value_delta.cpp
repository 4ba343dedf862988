#include "directory/value_delta.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/hash.h"

namespace celeryramp::directory {

namespace internal {

constexpr char kChunkStart = '{';
/*! Operations of a delta: append literal bytes, or copy a range of the older value. */
constexpr char kLiteralOpcode = 'L';
constexpr char kCopyOpcode = 'C';

[[nodiscard]] std::vector<std::string_view> splitIntoChunks(std::string_view value)
{
    std::vector<std::string_view> chunks;
    std::size_t begin = 0;
    while (begin < value.size()) {
        const auto end = std::min(value.find(kChunkStart, begin + 1), value.size());
        chunks.push_back(value.substr(begin, end - begin));
        begin = end;
    }
    return chunks;
}

void appendNumber(std::string &out, std::uint64_t value)
{
    for (int i = 0; i < 8; ++i) {
        out.push_back(static_cast<char>(value >> (8 * i)));
    }
}

[[nodiscard]] std::optional<std::uint64_t> readNumber(std::string_view &in)
{
    if (in.size() < 8) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    for (unsigned i = 0; i < 8; ++i) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[i])) << (8 * i);
    }
    in.remove_prefix(8);
    return value;
}

} // namespace internal

std::string makeDelta(std::string_view older, std::string_view newer)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (const auto chunk : internal::splitIntoChunks(older)) {
        offsets.emplace(chunk, static_cast<std::size_t>(chunk.data() - older.data()));
    }
    std::string out;
    internal::appendNumber(out, stableHash(newer));
    std::string literal;
    std::size_t copyOffset = 0;
    std::size_t copyLength = 0;
    const auto flushLiteral = [&] {
        if (!literal.empty()) {
            out.push_back(internal::kLiteralOpcode);
            internal::appendNumber(out, literal.size());
            out.append(literal);
            literal.clear();
        }
    };
    const auto flushCopy = [&] {
        if (copyLength > 0) {
            out.push_back(internal::kCopyOpcode);
            internal::appendNumber(out, copyOffset);
            internal::appendNumber(out, copyLength);
            copyLength = 0;
        }
    };
    for (const auto chunk : internal::splitIntoChunks(newer)) {
        const bool extendsCopy
                = copyLength > 0 && older.substr(copyOffset + copyLength, chunk.size()) == chunk;
        if (extendsCopy) {
            copyLength += chunk.size();
            continue;
        }
        flushCopy();
        if (const auto it = offsets.find(chunk); it != offsets.end()) {
            flushLiteral();
            copyOffset = it->second;
            copyLength = chunk.size();
        } else {
            literal.append(chunk);
        }
    }
    flushCopy();
    flushLiteral();
    return out;
}

std::optional<std::string> applyDelta(std::string_view older, std::string_view delta)
{
    const auto hash = internal::readNumber(delta);
    if (!hash) {
        return std::nullopt;
    }
    std::string newer;
    while (!delta.empty()) {
        const char opcode = delta.front();
        delta.remove_prefix(1);
        const auto operand = internal::readNumber(delta);
        if (opcode == internal::kLiteralOpcode && operand && *operand <= delta.size()) {
            newer.append(delta.substr(0, *operand));
            delta.remove_prefix(*operand);
            continue;
        }
        const auto length
                = opcode == internal::kCopyOpcode ? internal::readNumber(delta) : std::nullopt;
        if (!operand || !length || *operand > older.size() || *length > older.size() - *operand) {
            return std::nullopt;
        }
        newer.append(older.substr(*operand, *length));
    }
    if (stableHash(newer) != *hash) {
        return std::nullopt;
    }
    return newer;
}

} // namespace celeryramp::directory
