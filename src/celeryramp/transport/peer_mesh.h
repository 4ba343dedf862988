#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/address.h"
#include "observe/metrics_registry.h"
#include "transport/link_policy.h"
#include "transport/peer_transport.h"
#include "transport/tls_files.h"

namespace celeryramp {

/*! @brief What a mesh needs to know at start. */
struct PeerMeshSettings
{
    HelloMessage self;
    Address listen;
    TlsFiles tls;
};

/*! @brief Why a mesh cannot start. */
struct MeshError
{
    std::string reason;
};

/*!
 * @brief Connections between nodes: websockets over mutual TLS, CBOR frames.
 *
 * Connections are made when first needed and used in both directions; those idle for long are
 * closed. Frames wait in a bounded line while a connection is being made. One thread serves all.
 */
class PeerMesh : public PeerTransport
{
public:
    /*! @param events Receiver of events; must outlive the mesh, as must all other references. */
    PeerMesh(PeerMeshSettings settings, PeerEvents &events, const LinkPolicy &policy,
             MetricsRegistry &metrics);
    ~PeerMesh() override;
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    /*! @brief Listens and starts the thread. */
    [[nodiscard]] Result<bool, MeshError> start();

    /*! @brief Closes all connections and joins the thread. */
    void stop();

    LinkId send(const std::string &name, const Message &message, std::uint64_t token) override;
    bool reply(LinkId link, const Message &message) override;

    /*! @brief Connects to a node whose name is not known yet; `onPeerUp` tells it. */
    void connectTo(const Address &address);

    /*! @return Number of open connections. */
    [[nodiscard]] std::size_t links() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryramp
