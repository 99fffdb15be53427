#include "members/leadership_guard.h"

#include <algorithm>
#include <utility>

namespace greengagehitch {

namespace {

/// Time after a failed query for which further checks fail without a query.
constexpr duration failed_query_pause = std::chrono::milliseconds(50);

} // namespace

void leadership_guard::record_replicated_commit(monotonic_time sent_at)
{
    m_proven_at = std::max(m_proven_at.value_or(sent_at), sent_at);
}

bool leadership_guard::is_proven() const
{
    return m_proven_at && m_kernel.now() - *m_proven_at < leadership_proof_lifetime;
}

void leadership_guard::check(result_callback done)
{
    if (is_proven()) {
        done(true);
        return;
    }
    if (m_failed_at && m_kernel.now() - *m_failed_at < failed_query_pause) {
        done(false);
        return;
    }
    m_waiting.push_back(std::move(done));
    if (m_waiting.size() == 1) {
        start_query();
    }
}

void leadership_guard::start_query()
{
    m_query([this, sent_at = m_kernel.now()](bool is_receiving) {
        if (is_receiving) {
            record_replicated_commit(sent_at);
            m_failed_at.reset();
        }
        else {
            m_failed_at = m_kernel.now();
        }
        // The answer may have taken longer than a proof lasts.
        auto const result = is_proven();
        for (auto const& done : std::exchange(m_waiting, {})) {
            done(result);
        }
    });
}

} // namespace greengagehitch
