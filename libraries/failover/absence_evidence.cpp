#include "failover/absence_evidence.h"

namespace greengagehitch {

void absence_evidence::record_refusal(monotonic_time started_at)
{
    m_refused_since = m_refused_since.value_or(started_at);
    ++m_refusals;
    m_is_contradicted = false;
}

void absence_evidence::record_other_result()
{
    m_refused_since.reset();
    m_refusals = 0;
    m_is_contradicted = true;
}

} // namespace greengagehitch
