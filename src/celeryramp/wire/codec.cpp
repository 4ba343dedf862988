#include "wire/codec.h"

#include <limits>
#include <stdexcept>
#include <type_traits>

#include <nlohmann/json.hpp>

namespace celeryramp {

namespace internal {

using Json = nlohmann::json;

/*! Thrown inside this file only, and turned into a WireError at its border. */
class ShapeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

class Writer
{
public:
    template <typename... Fields>
    void operator()(const Fields &...fields)
    {
        (m_out.push_back(toJson(fields)), ...);
    }

    [[nodiscard]] Json take() { return std::move(m_out); }

private:
    template <typename Field>
    [[nodiscard]] static Json toJson(const Field &field)
    {
        if constexpr (std::is_enum_v<Field>) {
            return static_cast<int>(field);
        } else if constexpr (std::is_arithmetic_v<Field> || std::is_same_v<Field, std::string>) {
            return field;
        } else {
            return structured(field);
        }
    }

    [[nodiscard]] static Json structured(const Bytes &bytes)
    {
        return Json::binary({bytes.data.begin(), bytes.data.end()});
    }

    [[nodiscard]] static Json structured(const HeaderList &headers)
    {
        auto out = Json::array();
        for (const auto &[name, value] : headers) {
            out.push_back(name);
            out.push_back(value);
        }
        return out;
    }

    template <typename Item>
    [[nodiscard]] static Json structured(const std::vector<Item> &items)
    {
        auto out = Json::array();
        for (const auto &item : items) {
            out.push_back(structured(item));
        }
        return out;
    }

    template <typename Struct>
    [[nodiscard]] static Json structured(const Struct &value)
    {
        Writer writer;
        Struct::visit(value, writer);
        return writer.take();
    }

    Json m_out = Json::array();
};

class Reader
{
public:
    explicit Reader(Json &in) : m_in{in}
    {
        if (!in.is_array()) {
            throw ShapeError{"expected an array"};
        }
    }

    template <typename... Fields>
    void operator()(Fields &...fields)
    {
        (read(next(), fields), ...);
        if (m_next != m_in.size()) {
            throw ShapeError{"too many fields"};
        }
    }

private:
    [[nodiscard]] Json &next()
    {
        if (m_next >= m_in.size()) {
            throw ShapeError{"too few fields"};
        }
        return m_in[m_next++];
    }

    template <typename Field>
    static void read(Json &in, Field &field)
    {
        if constexpr (std::is_same_v<Field, bool>) {
            require(in.is_boolean(), "expected a boolean");
            field = in.get<bool>();
        } else if constexpr (std::is_enum_v<Field>) {
            readEnum(in, field);
        } else if constexpr (std::is_arithmetic_v<Field>) {
            readInteger(in, field);
        } else if constexpr (std::is_same_v<Field, std::string>) {
            require(in.is_string(), "expected text");
            field = std::move(in.get_ref<std::string &>());
        } else {
            structured(in, field);
        }
    }

    static void require(bool holds, const char *reason)
    {
        if (!holds) {
            throw ShapeError{reason};
        }
    }

    template <typename Number>
    static void readInteger(const Json &in, Number &number)
    {
        require(in.is_number_integer(), "expected a whole number");
        if constexpr (std::is_unsigned_v<Number>) {
            require(in.is_number_unsigned(), "expected no sign");
            const auto n = in.get<std::uint64_t>();
            require(n <= std::numeric_limits<Number>::max(), "number out of range");
            number = static_cast<Number>(n);
        } else {
            const auto n = in.get<std::int64_t>();
            require(n >= std::numeric_limits<Number>::min()
                            && n <= std::numeric_limits<Number>::max(),
                    "number out of range");
            number = static_cast<Number>(n);
        }
    }

    template <typename Enum>
    static void readEnum(const Json &in, Enum &value)
    {
        int n = 0;
        readInteger(in, n);
        require(n >= 0 && n <= lastValue(value), "unknown enumerator");
        value = static_cast<Enum>(n);
    }

    [[nodiscard]] static int lastValue(Outcome /*unused*/) { return int(Outcome::Unknown); }
    [[nodiscard]] static int lastValue(Reason /*unused*/) { return int(Reason::Malformed); }
    [[nodiscard]] static int lastValue(RumourKind /*unused*/) { return int(RumourKind::Crash); }
    [[nodiscard]] static int lastValue(RecordState /*unused*/) { return int(RecordState::Done); }
    [[nodiscard]] static int lastValue(Vote /*unused*/) { return int(Vote::Mismatch); }

    static void structured(Json &in, Bytes &bytes)
    {
        require(in.is_binary(), "expected bytes");
        const auto &data = in.get_binary();
        bytes.data.assign(data.begin(), data.end());
    }

    static void structured(Json &in, HeaderList &headers)
    {
        require(in.is_array() && in.size() % 2 == 0, "expected header lines");
        headers.reserve(in.size() / 2);
        for (std::size_t i = 0; i < in.size(); i += 2) {
            headers.emplace_back();
            read(in[i], headers.back().first);
            read(in[i + 1], headers.back().second);
        }
    }

    template <typename Item>
    static void structured(Json &in, std::vector<Item> &items)
    {
        require(in.is_array(), "expected an array");
        items.reserve(in.size());
        for (auto &element : in) {
            structured(element, items.emplace_back());
        }
    }

    template <typename Struct>
    static void structured(Json &in, Struct &value)
    {
        Reader reader{in};
        Struct::visit(value, reader);
    }

    Json &m_in;
    std::size_t m_next = 0;
};

template <std::size_t Index = 0>
[[nodiscard]] Result<Message, WireError> decodeAs(std::size_t type, Json &fields)
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return WireError{WireErrorCode::UnknownType, "type " + std::to_string(type)};
    } else {
        if (type != Index) {
            return decodeAs<Index + 1>(type, fields);
        }
        std::variant_alternative_t<Index, Message> message;
        Reader reader{fields};
        std::decay_t<decltype(message)>::visit(message, reader);
        return Message{std::move(message)};
    }
}

} // namespace internal

std::string encode(const Message &message)
{
    internal::Json frame = internal::Json::array();
    frame.push_back(message.index());
    std::visit(
            [&](const auto &typed) {
                internal::Writer writer;
                std::decay_t<decltype(typed)>::visit(typed, writer);
                frame.push_back(writer.take());
            },
            message);
    std::string bytes;
    internal::Json::to_cbor(frame, bytes);
    return bytes;
}

Result<Message, WireError> decode(std::string_view frame)
{
    if (frame.size() > kMaxFrameBytes) {
        return WireError{WireErrorCode::TooLarge, std::to_string(frame.size()) + " bytes"};
    }
    try {
        // Announced sizes beyond what memory can hold are thrown even where exceptions are off.
        auto json = internal::Json::from_cbor(frame.begin(), frame.end(), true, false);
        if (!json.is_array() || json.size() != 2 || !json[0].is_number_unsigned()) {
            return WireError{WireErrorCode::Malformed, "expected type and fields"};
        }
        return internal::decodeAs(json[0].get<std::size_t>(), json[1]);
    } catch (const internal::ShapeError &error) {
        return WireError{WireErrorCode::Malformed, error.what()};
    } catch (const internal::Json::exception &error) {
        return WireError{WireErrorCode::Malformed, error.what()};
    }
}

} // namespace celeryramp
