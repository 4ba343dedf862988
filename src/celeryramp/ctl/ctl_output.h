#pragma once

#include <string>

namespace celeryramp {

/*! @brief Exit codes of the operator's tool. */
enum class CtlExit : int {
    Good = 0,
    Bad = 1, /*!< What was checked is not good: a bad configuration, a laggard. */
    Usage = 2, /*!< The command line is wrong. */
    Unreachable = 3 /*!< No answer from the node asked. */
};

/*! @brief What a command prints and ends with. */
struct CtlOutput
{
    CtlExit exit = CtlExit::Good;
    std::string out; /*!< For standard output. */
    std::string error; /*!< For standard error. */
};

} // namespace celeryramp
