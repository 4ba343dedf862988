#pragma once

#include "proxy/header_adapter.h"

namespace celeryramp::test {

/*! @brief Header adapter of a fictitious deployment for engine tests; its headers start with `T-`.
 */
class TestHeaderAdapter final : public proxy::HeaderAdapter
{
public:
    [[nodiscard]] proxy::CallerMetadata readCaller(const http::Headers &headers) const override;
    void stripCaller(http::Headers &headers) const override;
    [[nodiscard]] http::Request toServer(const proxy::CallFrame &call, Millis left) const override;
    [[nodiscard]] proxy::AnswerMetadata readAnswer(const http::Answer &answer) const override;
    [[nodiscard]] http::Answer localAnswer(const proxy::LocalAnswer &answer) const override;
    [[nodiscard]] http::Request healthProbe(const directory::Service &service) const override;
};

} // namespace celeryramp::test
