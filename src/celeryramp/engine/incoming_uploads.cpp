#include "engine/incoming_uploads.h"

#include <memory>

namespace celeryramp::engine {

bool IncomingUploads::begin(const std::string &origin, proxy::CallFrame call, TimePoint now)
{
    auto lease = m_budget.open(now);
    if (!m_budget.hold(lease, call.uploadBytes, now)) {
        return false;
    }
    // Only an upload that is under way is cut by its sender; the gate never cuts one.
    m_budget.protect(lease, true);
    Upload upload{std::move(call), {}, std::move(lease), now};
    upload.bytes.reserve(upload.call.uploadBytes);
    m_uploads.insert_or_assign(Key{origin, upload.call.id}, std::move(upload));
    return true;
}

std::optional<IncomingUploads::Progress>
IncomingUploads::add(const std::string &origin, const proxy::UploadFrame &part, TimePoint now)
{
    const auto it = m_uploads.find({origin, part.id});
    if (it == m_uploads.end()) {
        return std::nullopt;
    }
    auto &upload = it->second;
    const auto left = upload.call.uploadBytes - upload.bytes.size();
    if (part.offset != upload.bytes.size() || part.bytes.size() > left) {
        m_uploads.erase(it);
        return Progress{std::nullopt, true};
    }
    upload.bytes.append(part.bytes);
    if (part.bytes.size() < left) {
        return Progress{};
    }
    auto call = std::move(upload.call);
    const auto spent = millisBetween(upload.arrivedAt, now);
    call.deadline -= spent;
    call.target -= spent;
    call.uploadBytes = 0;
    call.longBody = std::make_shared<const admission::HeldBody>(
            admission::HeldBody{std::move(upload.bytes), std::move(upload.lease)});
    m_uploads.erase(it);
    return Progress{std::move(call), false};
}

void IncomingUploads::cancel(const std::string &origin, std::uint64_t id)
{
    m_uploads.erase({origin, id});
}

void IncomingUploads::cancelAll(const std::string &origin)
{
    auto it = m_uploads.lower_bound({origin, 0});
    while (it != m_uploads.end() && it->first.first == origin) {
        it = m_uploads.erase(it);
    }
}

void IncomingUploads::sweep(TimePoint now)
{
    for (auto it = m_uploads.begin(); it != m_uploads.end();) {
        const bool isOver = now >= it->second.arrivedAt + it->second.call.deadline;
        it = isOver ? m_uploads.erase(it) : std::next(it);
    }
}

} // namespace celeryramp::engine
