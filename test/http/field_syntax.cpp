#include "http/field_syntax.h"

#include <catch2/catch.hpp>

using namespace celeryramp::http;

TEST_CASE("Names of fields are tokens")
{
    const std::string others = "\"(),/:;<=>?@[\\]{}";
    for (int byte = 0; byte <= 0xff; ++byte) {
        CAPTURE(byte);
        const auto c = static_cast<char>(byte);
        const bool isToken = byte > 0x20 && byte < 0x7f && others.find(c) == std::string::npos;
        REQUIRE(isFieldName(std::string{'X', c}) == isToken);
        REQUIRE(isFieldName(std::string{c, 'X'}) == isToken);
    }
    REQUIRE_FALSE(isFieldName(""));
}

TEST_CASE("Values of fields have no control bytes but tabs")
{
    for (int byte = 0; byte <= 0xff; ++byte) {
        CAPTURE(byte);
        const bool isControl = (byte < 0x20 && byte != '\t') || byte == 0x7f;
        REQUIRE(isFieldValue(std::string{'a', static_cast<char>(byte), 'b'}) == !isControl);
    }
    REQUIRE(isFieldValue(""));
}
