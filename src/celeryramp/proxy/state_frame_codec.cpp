#include "proxy/state_frame_codec.h"

#include <stdexcept>

namespace celeryramp::proxy::internal {

namespace {

/*! Nodes of the release without eras read fields by their index and stop at the first that cannot
 * start another entry, so eras and versions stand behind all that they read. */
constexpr std::size_t kUsageHead = 5;
constexpr std::size_t kUsageEntry = 3;
constexpr std::size_t kLevelsHead = 4;
constexpr std::size_t kLevelsEntry = 4;

/*! @return Field at an index, or the default value of its type if earlier releases omit it. */
template <typename Value>
[[nodiscard]] Value fieldOr(const Json &json, std::size_t index, Value fallback)
{
    return index < json.size() ? json[index].get<Value>() : fallback;
}

[[nodiscard]] Json toJson(const directory::SourcePosition &position)
{
    return Json::array({position.era, position.revision});
}

/*! @return An era. Throws for one that no source can have reached. */
[[nodiscard]] std::int64_t eraFromJson(const Json &json)
{
    const auto era = json.get<std::int64_t>();
    if (era < 0 || era > directory::kLargestEra) {
        throw std::out_of_range{"era out of range"};
    }
    return era;
}

/*! @return Era at an index; 0 if earlier releases omit it. */
[[nodiscard]] std::int64_t eraOrNone(const Json &json, std::size_t index)
{
    return index < json.size() ? eraFromJson(json[index]) : 0;
}

[[nodiscard]] directory::SourcePosition positionFromJson(const Json &json)
{
    return {eraFromJson(json.at(0)), json.at(1).get<std::int64_t>()};
}

/*! @return Time in the last field, which earlier releases do not send. */
[[nodiscard]] Millis lastMillis(const Json &json, std::size_t index)
{
    return Millis{index < json.size() ? json[index].get<std::int64_t>() : 0};
}

/*! @return Eras of the items of a reply that are not of its own era, by their index; then those of
 * the bases. */
[[nodiscard]] Json otherEras(const SyncReplyFrame &frame)
{
    auto items = Json::array();
    for (std::size_t i = 0; i < frame.items.size(); ++i) {
        if (frame.items[i].era != frame.position.era) {
            items.push_back(i);
            items.push_back(frame.items[i].era);
        }
    }
    auto bases = Json::array();
    for (const auto &[index, base] : frame.bases) {
        if (base.era != frame.position.era) {
            bases.push_back(index);
            bases.push_back(base.era);
        }
    }
    return Json::array({std::move(items), std::move(bases)});
}

void readHistory(SyncReplyFrame &frame, const Json &history)
{
    frame.position.era = eraFromJson(history.at(2));
    frame.since = positionFromJson(history.at(3));
    frame.version = history.at(4).get<std::uint64_t>();
    for (auto &item : frame.items) {
        item.era = frame.position.era;
    }
    for (auto &[index, base] : frame.bases) {
        base.era = frame.position.era;
    }
    const auto &items = history.at(0);
    for (std::size_t k = 0; k + 1 < items.size(); k += 2) {
        frame.items.at(items[k].get<std::size_t>()).era = eraFromJson(items[k + 1]);
    }
    const auto &bases = history.at(1);
    for (std::size_t k = 0; k + 1 < bases.size(); k += 2) {
        frame.bases.at(bases[k].get<std::size_t>()).era = eraFromJson(bases[k + 1]);
    }
}

} // namespace

void append(Json &out, const UsageFrame &frame)
{
    out.push_back(frame.zone);
    out.push_back(frame.liveNodes);
    out.push_back(frame.isIdle);
    out.push_back(frame.sentAt);
    for (const auto &[account, usage] : frame.accounts) {
        out.push_back(account);
        out.push_back(static_cast<float>(usage.admitted));
        out.push_back(static_cast<float>(usage.demanded));
    }
    if (frame.position != directory::SourcePosition{}) {
        out.push_back(frame.version);
        out.push_back(toJson(frame.position));
    }
}

Frame readUsage(const Json &json)
{
    UsageFrame frame;
    frame.zone = json.at(1).get<std::string>();
    frame.liveNodes = json.at(2).get<int>();
    frame.isIdle = json.at(3).get<bool>();
    frame.sentAt = json.at(4).get<std::int64_t>();
    std::size_t i = kUsageHead;
    for (; i + kUsageEntry <= json.size(); i += kUsageEntry) {
        frame.accounts[json[i].get<std::string>()]
                = {json[i + 1].get<double>(), json[i + 2].get<double>()};
    }
    frame.version = fieldOr(json, i, frame.version);
    if (i + 1 < json.size()) {
        frame.position = positionFromJson(json[i + 1]);
    }
    return frame;
}

void append(Json &out, const LevelsFrame &frame)
{
    out.push_back(frame.askedAt);
    out.push_back(frame.position.revision);
    out.push_back(frame.age.count());
    for (const auto &[account, level] : frame.accounts) {
        out.push_back(account);
        out.push_back(static_cast<float>(level.level));
        out.push_back(static_cast<float>(level.demand));
        out.push_back(static_cast<float>(level.rate));
    }
    out.push_back(frame.position.era);
    out.push_back(frame.version);
}

Frame readLevels(const Json &json)
{
    LevelsFrame frame;
    frame.askedAt = json.at(1).get<std::int64_t>();
    frame.position.revision = json.at(2).get<std::int64_t>();
    frame.age = Millis{json.at(3).get<std::int64_t>()};
    std::size_t i = kLevelsHead;
    for (; i + kLevelsEntry <= json.size(); i += kLevelsEntry) {
        frame.accounts[json[i].get<std::string>()]
                = {json[i + 1].get<double>(), json[i + 2].get<double>(), json[i + 3].get<double>()};
    }
    frame.position.era = eraOrNone(json, i);
    frame.version = fieldOr(json, i + 1, frame.version);
    return frame;
}

void append(Json &out, const SyncRequestFrame &frame)
{
    out.push_back(frame.position.revision);
    out.push_back(frame.askedAt);
    out.push_back(frame.takesDeltas);
    out.push_back(frame.position.era);
    out.push_back(frame.version);
}

Frame readSyncRequest(const Json &json)
{
    SyncRequestFrame frame;
    frame.position = {eraOrNone(json, 4), json.at(1).get<std::int64_t>()};
    frame.askedAt = json.at(2).get<std::int64_t>();
    frame.takesDeltas = fieldOr(json, 3, false);
    frame.version = fieldOr(json, 5, frame.version);
    return frame;
}

void append(Json &out, const SyncReplyFrame &frame)
{
    out.push_back(frame.position.revision);
    out.push_back(frame.askedAt);
    out.push_back(frame.age.count());
    for (const auto &item : frame.items) {
        out.push_back(item.key);
        out.push_back(item.revision);
        out.push_back(binary(item.value));
    }
    out.push_back(frame.renewalTimeLeft.count());
    auto bases = Json::array();
    for (const auto &[index, base] : frame.bases) {
        bases.push_back(index);
        bases.push_back(base.revision);
    }
    // Nodes of the release without eras read pairs, and leave out a single last element.
    auto history = otherEras(frame);
    history.push_back(frame.position.era);
    history.push_back(toJson(frame.since));
    history.push_back(frame.version);
    bases.push_back(std::move(history));
    out.push_back(std::move(bases));
}

Frame readSyncReply(const Json &json)
{
    SyncReplyFrame frame;
    frame.position.revision = json.at(1).get<std::int64_t>();
    frame.askedAt = json.at(2).get<std::int64_t>();
    frame.age = Millis{json.at(3).get<std::int64_t>()};
    std::size_t i = 4;
    for (; i + 2 < json.size(); i += 3) {
        frame.items.push_back({json[i].get<std::string>(), bytesOf(json[i + 2]),
                               json[i + 1].get<std::int64_t>(), false});
    }
    frame.renewalTimeLeft = lastMillis(json, i);
    if (++i < json.size()) {
        const auto &bases = json[i];
        for (std::size_t k = 0; k + 1 < bases.size(); k += 2) {
            frame.bases[bases[k].get<std::size_t>()] = {0, bases[k + 1].get<std::int64_t>()};
        }
        if (bases.size() % 2 == 1) {
            readHistory(frame, bases.back());
        }
    }
    return frame;
}

void append(Json &out, const ChangesFrame &frame)
{
    out.push_back(frame.after.revision);
    out.push_back(frame.position.revision);
    auto baseEras = Json::array();
    for (std::size_t i = 0; i < frame.changes.size(); ++i) {
        const auto &change = frame.changes[i];
        const auto base = i < frame.bases.size() ? frame.bases[i] : directory::SourcePosition{};
        out.push_back(change.key);
        out.push_back(change.revision);
        out.push_back(base.revision);
        out.push_back(change.isRemoved ? Json{} : binary(change.value));
        baseEras.push_back(base.era);
    }
    out.push_back(frame.renewalTimeLeft.count());
    out.push_back(frame.position.era);
    out.push_back(std::move(baseEras));
}

Frame readChanges(const Json &json)
{
    ChangesFrame frame;
    frame.after.revision = json.at(1).get<std::int64_t>();
    frame.position.revision = json.at(2).get<std::int64_t>();
    std::size_t i = 3;
    for (; i + 3 < json.size(); i += 4) {
        const bool isRemoved = json[i + 3].is_null();
        frame.changes.push_back({json[i].get<std::string>(),
                                 isRemoved ? std::string{} : bytesOf(json[i + 3]),
                                 json[i + 1].get<std::int64_t>(), isRemoved});
        frame.bases.push_back({0, json[i + 2].get<std::int64_t>()});
    }
    frame.renewalTimeLeft = lastMillis(json, i);
    const auto era = eraOrNone(json, i + 1);
    frame.after.era = era;
    frame.position.era = era;
    for (std::size_t k = 0; k < frame.changes.size(); ++k) {
        frame.changes[k].era = era;
        frame.bases[k].era = i + 2 < json.size() ? eraFromJson(json[i + 2].at(k)) : 0;
    }
    return frame;
}

} // namespace celeryramp::proxy::internal
