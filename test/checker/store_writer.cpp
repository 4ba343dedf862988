#include "soak/store_writer.h"

#include <catch2/catch.hpp>

using namespace standin::soak;
using celeryramp::Millis;
using celeryramp::TimePoint;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

/*! @brief A writer whose writes are noted as text. */
struct Written
{
    std::string text;
    std::vector<Span> promises;
    StoreWriter writer{
            [this](const StoreWrite &it) { text += it.key + "=" + it.value.value_or("-") + " "; }};

    void write(int at, const char *key, const char *value)
    {
        writer.write({key, value, &promises, value}, kStart + Millis{at});
    }
    void writeAll(int at)
    {
        while (writer.waiting() > 0) {
            writer.writeNext(kStart + Millis{at});
        }
    }
    [[nodiscard]] std::string spans() const
    {
        std::string spans;
        for (const auto &span : promises) {
            const auto time = [](TimePoint it) {
                return it == TimePoint::max()
                        ? std::string{}
                        : std::to_string(celeryramp::millisBetween(kStart, it).count());
            };
            spans += span.subject + ":" + time(span.from) + "-" + time(span.to) + " ";
        }
        return spans;
    }
};

} // namespace

TEST_CASE("soak writer: what the store lost is written again in order and promised from then on")
{
    Written it;
    it.write(1, "a", "a1");
    it.writer.beginCopy();
    it.write(2, "b", "b1");
    it.write(3, "c", "c1");
    it.writer.storeLeaves();
    it.write(4, "d", "d1");
    REQUIRE(it.text == "a=a1 b=b1 c=c1 ");
    it.writer.storeReturns(kStart + Millis{5});
    it.writeAll(6);
    REQUIRE(it.text == "a=a1 b=b1 c=c1 b=b1 c=c1 d=d1 ");
    REQUIRE(it.spans() == "a1:1- b1:2-5 c1:3-5 b1:6- c1:6- d1:6- ");
}

TEST_CASE("soak writer: a newer write comes instead of a lost one of the same key")
{
    Written it;
    it.writer.beginCopy();
    it.write(1, "a", "a1");
    it.writer.storeLeaves();
    it.writer.storeReturns(kStart + Millis{2});
    it.write(3, "a", "a2");
    it.writeAll(4);
    REQUIRE(it.text == "a=a1 a=a2 ");
    REQUIRE(it.spans() == "a1:1-2 a2:3- ");
}

TEST_CASE("soak writer: a store that goes back twice gets all that is lost twice")
{
    Written it;
    it.writer.beginCopy();
    it.write(1, "a", "a1");
    it.write(1, "b", "b1");
    it.writer.storeReturns(kStart + Millis{2});
    it.writer.writeNext(kStart + Millis{3});
    it.writer.storeLeaves();
    it.writer.writeNext(kStart + Millis{4});
    it.writer.storeReturns(kStart + Millis{5});
    it.writeAll(6);
    REQUIRE(it.text == "a=a1 b=b1 a=a1 a=a1 b=b1 ");
    REQUIRE(it.spans() == "a1:1-2 b1:1-2 a1:3-5 a1:6- b1:6- ");
}

TEST_CASE("soak writer: of writes that promise nothing only the last is repeated")
{
    Written it;
    it.writer.beginCopy();
    for (const auto *value : {"s1", "s2"}) {
        it.writer.write({"s", value, nullptr, {}}, kStart);
        it.write(1, "a", value);
    }
    it.writer.storeReturns(kStart + Millis{2});
    it.writeAll(3);
    REQUIRE(it.text == "s=s1 a=s1 s=s2 a=s2 a=s1 s=s2 a=s2 ");
}
