#include "config/json_reader.h"

namespace celeryramp {

namespace internal {

const nlohmann::json kEmptyObject = nlohmann::json::object();
const nlohmann::json kEmptyArray = nlohmann::json::array();

template <typename Number>
[[nodiscard]] std::string rangeText(Number low, Number high)
{
    return "accepted range " + nlohmann::json(low).dump() + " to " + nlohmann::json(high).dump();
}

} // namespace internal

JsonReader::JsonReader(const nlohmann::json &object, std::string part, std::string place)
    : m_object{object}, m_part{std::move(part)}, m_place{std::move(place)}
{
    if (!m_object.is_object()) {
        fail(ConfigErrorCode::WrongType, "", "must be an object");
    }
}

const nlohmann::json *JsonReader::member(const char *name)
{
    if (m_failed) {
        return nullptr;
    }
    m_readMembers.insert(name);
    const auto it = m_object.find(name);
    if (it == m_object.end()) {
        fail(ConfigErrorCode::WrongType, name, "is missing");
        return nullptr;
    }
    return &*it;
}

std::string JsonReader::text(const char *name)
{
    const auto *value = member(name);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        fail(ConfigErrorCode::WrongType, name, "must be a non-empty string");
        return {};
    }
    return value->get<std::string>();
}

std::size_t JsonReader::choice(const char *name, std::initializer_list<const char *> choices)
{
    const auto value = text(name);
    std::string accepted;
    std::size_t i = 0;
    for (const auto *choice : choices) {
        if (value == choice) {
            return i;
        }
        accepted += std::string{accepted.empty() ? "" : ", "} + choice;
        ++i;
    }
    fail(ConfigErrorCode::OutOfRange, name, "must be one of " + accepted);
    return 0;
}

double JsonReader::number(const char *name, double low, double high)
{
    const auto *value = member(name);
    if (value == nullptr) {
        return low;
    }
    if (!value->is_number()) {
        fail(ConfigErrorCode::WrongType, name, "must be a number");
        return low;
    }
    const auto n = value->get<double>();
    if (!(n >= low && n <= high)) {
        fail(ConfigErrorCode::OutOfRange, name, internal::rangeText(low, high));
    }
    return n;
}

std::int64_t JsonReader::integer(const char *name, std::int64_t low, std::int64_t high)
{
    const auto *value = member(name);
    if (value == nullptr) {
        return low;
    }
    if (!value->is_number_integer()) {
        fail(ConfigErrorCode::WrongType, name, "must be an integer");
        return low;
    }
    const auto n = value->get<std::int64_t>();
    if (n < low || n > high) {
        fail(ConfigErrorCode::OutOfRange, name, internal::rangeText(low, high));
    }
    return n;
}

std::int64_t JsonReader::integerOr(const char *name, std::int64_t low, std::int64_t high,
                                   std::int64_t fallback)
{
    const bool absent = m_failed || m_object.find(name) == m_object.end();
    return absent ? fallback : integer(name, low, high);
}

const nlohmann::json &JsonReader::object(const char *name)
{
    const auto *value = member(name);
    if (value != nullptr && value->is_object()) {
        return *value;
    }
    fail(ConfigErrorCode::WrongType, name, "must be an object");
    return internal::kEmptyObject;
}

const nlohmann::json &JsonReader::array(const char *name)
{
    const auto *value = member(name);
    if (value != nullptr && value->is_array()) {
        return *value;
    }
    fail(ConfigErrorCode::WrongType, name, "must be an array");
    return internal::kEmptyArray;
}

void JsonReader::fail(ConfigErrorCode code, const std::string &name, std::string reason)
{
    if (m_failed) {
        return;
    }
    m_failed = true;
    const auto place = name.empty() ? m_place : m_place + "/" + name;
    m_error = {code, m_part, place.empty() ? "/" : place, std::move(reason)};
}

void JsonReader::finish()
{
    if (m_failed) {
        return;
    }
    for (const auto &[name, value] : m_object.items()) {
        if (m_readMembers.count(name) == 0) {
            fail(ConfigErrorCode::UnknownMember, name, "is not a known member");
            return;
        }
    }
}

} // namespace celeryramp
