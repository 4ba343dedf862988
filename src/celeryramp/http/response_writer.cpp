#include "http/response_writer.h"

#include "http/caller_connection.h"

namespace celeryramp::http {

void ResponseWriter::answer(const Answer &answer) const
{
    m_connection->answer(m_id, answer);
}

void ResponseWriter::begin(const Answer &head, std::optional<std::uint64_t> length) const
{
    m_connection->begin(m_id, head, length);
}

void ResponseWriter::append(std::string bytes, bool isLast) const
{
    m_connection->append(m_id, std::move(bytes), isLast);
}

void ResponseWriter::abort(const Answer &replacement) const
{
    m_connection->abort(m_id, replacement);
}

} // namespace celeryramp::http
