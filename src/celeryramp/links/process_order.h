#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace celeryramp::links {

/*!
 * @brief Tells which of the processes that were heard at one address is the present one.
 *
 * Incarnations have no order, and what a process has sent can arrive after its end. Processes at an
 * address follow one another, though. So a process that answers what was sent to it after another
 * one had been heard is the successor of that one.
 */
class ProcessOrder
{
public:
    /*! Position in the order of what this node sent and received. */
    using Step = std::uint64_t;

    /*! Processes that are remembered; the oldest are forgotten first. */
    static constexpr std::size_t kMaxProcesses = 8;

    /*! @brief A link to a process was opened. */
    void onHeard(std::string_view incarnation);
    /*! @brief Something that requires an answer is sent. @return Its position, for `onAnswered`. */
    [[nodiscard]] Step onAsked() noexcept { return ++m_lastStep; }
    /*!
     * @brief A process has answered what was sent at a position.
     * @return The processes that were heard before it and have ended. One that was heard after it
     * is not among them: it ends by itself, or answers as well if processes overlap after all.
     */
    [[nodiscard]] std::vector<std::string> onAnswered(std::string_view incarnation, Step asked);

    /*! @return True if a successor of the process has answered. */
    [[nodiscard]] bool isFormer(std::string_view incarnation) const noexcept;
    /*! @return True while more than one process may be the present one. */
    [[nodiscard]] bool isAmbiguous() const noexcept;

private:
    struct Process
    {
        std::string incarnation;
        Step firstHeard = 0;
        Step lastAnswered = 0; /*!< Position of what it has answered last; 0 for nothing. */
        bool isEnded = false; /*!< It was returned by `onAnswered`. */
    };

    [[nodiscard]] Process *find(std::string_view incarnation) noexcept;
    /*! @return The process that has answered last; null if none has. */
    [[nodiscard]] const Process *lastAnswering() const noexcept;
    [[nodiscard]] static bool isSucceeded(const Process &process, const Process *present) noexcept;

    std::vector<Process> m_processes; /*!< In the order in which they were first heard. */
    Step m_lastStep = 0;
};

} // namespace celeryramp::links
