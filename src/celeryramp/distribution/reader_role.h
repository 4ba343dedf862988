#pragma once

namespace celeryramp {

/*! @brief Role of a node in reading the configuration for its availability zone. */
enum class ReaderRole {
    None, /*!< Receives the configuration from other nodes only. */
    Reader, /*!< Watches the platform. */
    First /*!< Watches the platform and also sends periodic announcements to other zones. */
};

} // namespace celeryramp
