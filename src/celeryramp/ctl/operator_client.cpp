#include "ctl/operator_client.h"

#include <httplib.h>

namespace celeryramp {

namespace internal {

constexpr std::chrono::milliseconds kOperatorTimeout{2000};
constexpr int kHttpGood = 200;

} // namespace internal

Result<nlohmann::json, OperatorError> OperatorClient::get(const Address &address,
                                                          const std::string &path) const
{
    httplib::Client client{address.host, address.port};
    client.set_connection_timeout(internal::kOperatorTimeout);
    client.set_read_timeout(internal::kOperatorTimeout);
    httplib::Headers headers;
    if (!m_token.empty()) {
        headers.emplace("Authorization", "Bearer " + m_token);
    }
    const auto result = client.Get(path, headers);
    if (!result) {
        return OperatorError{address.text() + ": " + httplib::to_string(result.error())};
    }
    if (result->status != internal::kHttpGood) {
        return OperatorError{address.text() + ": status " + std::to_string(result->status)};
    }
    auto json = nlohmann::json::parse(result->body, nullptr, false);
    if (json.is_discarded()) {
        return OperatorError{address.text() + ": the answer is no JSON"};
    }
    return json;
}

} // namespace celeryramp
