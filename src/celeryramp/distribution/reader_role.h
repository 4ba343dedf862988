#pragma once

namespace celeryramp {

/*! @brief What a node does for its zone towards the platform and the other zones. */
enum class ReaderRole {
    None, /*!< Neither. */
    Reader, /*!< Watches the platform. */
    First /*!< Watches the platform, and keeps in touch with the other zones. */
};

} // namespace celeryramp
