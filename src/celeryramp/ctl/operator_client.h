#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "core/address.h"
#include "core/result.h"

namespace celeryramp {

/*! @brief Why an operator port gave no answer. */
struct OperatorError
{
    std::string reason;
};

/*! @brief Reads the operator ports of nodes. */
class OperatorClient
{
public:
    /*! @param token Token of the ports; empty when none is needed. */
    explicit OperatorClient(std::string token) : m_token{std::move(token)} { }

    /*! @return The JSON document at a path of a node's operator port. */
    [[nodiscard]] Result<nlohmann::json, OperatorError> get(const Address &address,
                                                            const std::string &path) const;

private:
    std::string m_token;
};

} // namespace celeryramp
