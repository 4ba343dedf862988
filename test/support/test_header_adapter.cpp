#include "support/test_header_adapter.h"

namespace celeryramp::test {

proxy::CallerMetadata TestHeaderAdapter::readCaller(const http::Headers &headers) const
{
    proxy::CallerMetadata metadata;
    metadata.requestId = http::findHeader(headers, "T-Request");
    if (const auto text = http::findHeader(headers, "T-Deadline"); !text.empty()) {
        metadata.deadline = Millis{std::stol(std::string{text})};
    }
    metadata.parentId = http::findHeader(headers, "T-Parent");
    if (const auto key = http::findHeader(headers, "T-Key"); !key.empty()) {
        metadata.key = std::string{key};
    }
    return metadata;
}

void TestHeaderAdapter::stripCaller(http::Headers &headers) const
{
    http::eraseHeaders(headers, "T-Key");
    http::eraseHeaders(headers, "T-Deadline");
}

http::Request TestHeaderAdapter::toServer(const proxy::CallFrame &call, Millis left) const
{
    auto request = call.request;
    request.headers.push_back({"T-Deadline", std::to_string(left.count())});
    request.headers.push_back({"T-Server", call.serverId});
    request.headers.push_back({"T-Account", call.account});
    return request;
}

proxy::AnswerMetadata TestHeaderAdapter::readAnswer(const http::Answer &answer) const
{
    proxy::AnswerMetadata metadata;
    metadata.requestId = http::findHeader(answer.headers, "T-Request");
    metadata.serverId = http::findHeader(answer.headers, "T-Server");
    metadata.isSigned = http::countHeaders(answer.headers, "T-Signed") > 0;
    metadata.isEncoded = http::countHeaders(answer.headers, "Content-Encoding") > 0;
    metadata.isNotRun = http::countHeaders(answer.headers, "T-Not-Run") > 0;
    if (const auto limit = http::findHeader(answer.headers, "T-Limit"); !limit.empty()) {
        metadata.rateLimit = std::stod(std::string{limit});
    }
    metadata.isLeaving = http::countHeaders(answer.headers, "T-Leaving") > 0;
    metadata.isOtherServer = answer.status == 421;
    return metadata;
}

http::Answer TestHeaderAdapter::localAnswer(const proxy::LocalAnswer &local) const
{
    http::Answer answer;
    answer.status = local.status;
    answer.headers.push_back({"T-Reason", std::string{proxy::reasonName(local.reason)}});
    return answer;
}

http::Request TestHeaderAdapter::healthProbe(const directory::Service & /*service*/) const
{
    http::Request request;
    request.method = "GET";
    request.target = "/health";
    request.headers.push_back({"Host", "server"});
    return request;
}

} // namespace celeryramp::test
